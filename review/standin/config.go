package main

// The configuration that the operator publishes, in the form of the store.

type stageSpec struct {
	Service string `json:"service"`
	After   []int  `json:"after"`
	Bytes   int    `json:"bytes"`
}

type route struct {
	Name        string      `json:"name"`
	Host        string      `json:"host"`
	Prefix      string      `json:"prefix"`
	Type        string      `json:"type"`
	TimeoutMs   int         `json:"timeoutMs"`
	SloMs       int         `json:"sloMs"`
	Priority    int         `json:"priority"`
	Service     string      `json:"service"`
	MaxAttempts int         `json:"maxAttempts"`
	Stages      []stageSpec `json:"stages,omitempty"`
	Public      bool        `json:"public"`
	Sticky      bool        `json:"sticky"`
	Resumable   bool        `json:"resumable"`
	MaxGapMs    int         `json:"maxGapMs,omitempty"`

	method string
	perS   float64                          // of the whole deployment
	items  func(r *dice) []int              // pieces by stage
	body   int                              // bytes
	events func(r *dice) (n int)            // of a stream
	keys   func(r *dice) (key, hash string) // parts of the prompt
}

type segments struct {
	Slots      int     `json:"slots"`
	Queue      int     `json:"queue"`
	Batch      int     `json:"batch"`
	CallMs     float64 `json:"callMs"`
	ItemMs     float64 `json:"itemMs"`
	HeadroomMb float64 `json:"headroomMb"`
	HandleS    float64 `json:"handleS"`
	LinkMbps   float64 `json:"linkMbps"`
}

type engine struct {
	Slots      int `json:"slots"`
	KvCapacity int `json:"kvCapacity"`
}

type service struct {
	Name       string    `json:"name"`
	HealthPath string    `json:"healthPath"`
	MaxConns   int       `json:"maxConns"`
	Protocol   string    `json:"protocol"`
	TLS        bool      `json:"tls"`
	ColdS      float64   `json:"coldS"`
	ColdPerS   float64   `json:"coldPerS"`
	Segments   *segments `json:"segments,omitempty"`
	Engine     *engine   `json:"engine,omitempty"`

	servers int
	slots   int
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

type config struct {
	Version  int        `json:"version"`
	Routes   []*route   `json:"routes"`
	Services []*service `json:"services"`
	Limits   limits     `json:"limits"`
	Tenants  []tenant   `json:"tenants"`
}

func (c *config) service(name string) *service {
	for _, s := range c.Services {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func (c *config) route(name string) *route {
	for _, r := range c.Routes {
		if r.Name == name {
			return r
		}
	}
	return nil
}

const apiKey = "9dnn2ctnfzs989anu6ws"

var zones = []string{"addis-bole", "addis-piassa", "addis-merkato", "addis-kazanchis"}

// abay returns a configuration after the sheet of the copy shops' installation: its
// services, stages and kinds of request, with their rates and sizes.
func abay() *config {
	stage := func(name string, servers, batch int, itemMs, headroom float64) *service {
		return &service{
			Name: name, HealthPath: "/healthz", MaxConns: 360, Protocol: "h1", servers: servers, slots: 1,
			Segments: &segments{Slots: 1, Queue: 2, Batch: batch, CallMs: 150, ItemMs: itemMs, HeadroomMb: headroom, HandleS: 4, LinkMbps: 10000},
		}
	}
	return &config{
		Version: 7,
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants: []tenant{{Name: "bozi300", APIKeys: []string{apiKey}, Priority: 1}},
		Services: []*service{
			{Name: "wigeon-pool", HealthPath: "/healthz", MaxConns: 360, Protocol: "h1", Engine: &engine{Slots: 64, KvCapacity: 316547}, servers: 12, slots: 64},
			{Name: "queue-api", HealthPath: "/healthz", MaxConns: 100, Protocol: "h1", servers: 4, slots: 6},
			stage("counter-app", 4, 8, 16, 36), stage("pickup-board", 5, 16, 8, 2.7), stage("shop-ledger", 5, 42, 3.1, 0.72),
		},
		Routes: []*route{
			{
				Name: "brief-quote", Host: "pule25.example", Prefix: "/puxa400/", Type: "streaming", TimeoutMs: 8000, SloMs: 1900, Priority: 1,
				Service: "wigeon-pool", MaxAttempts: 2, Sticky: true, Resumable: true, MaxGapMs: 400, method: "POST", perS: 11.4, body: 18000,
				Stages: []stageSpec{
					{"counter-app", []int{}, 3000000}, {"counter-app", []int{}, 8000}, {"pickup-board", []int{1}, 60000}, {"shop-ledger", []int{2}, 6000},
				},
				items: func(r *dice) []int {
					first := 0
					if r.Float64() < 0.4 {
						first = 1 + r.IntN(2)
					}
					return []int{first, 1, 6, 10 + r.IntN(13)}
				},
				events: func(r *dice) int { return 5 + r.IntN(17) },
			},
			{
				Name: "order-summary", Host: "pule25.example", Prefix: "/cufi501/", Type: "streaming", TimeoutMs: 5000, SloMs: 1700, Priority: 0,
				Service: "wigeon-pool", MaxAttempts: 1, Sticky: true, MaxGapMs: 400, method: "POST", perS: 12.2, body: 4700,
				Stages: []stageSpec{{"counter-app", []int{}, 8000}, {"pickup-board", []int{0}, 60000}, {"shop-ledger", []int{1}, 6000}},
				items:  func(r *dice) []int { return []int{1, 6, 10 + r.IntN(13)} },
				events: func(r *dice) int { return 3 + r.IntN(7) },
			},
			{
				Name: "board-note", Host: "pule25.example", Prefix: "/kami162/", Type: "streaming", TimeoutMs: 15000, SloMs: 920, Priority: 2,
				Service: "wigeon-pool", MaxAttempts: 2, Sticky: true, Resumable: true, MaxGapMs: 400, method: "POST", perS: 6.26, body: 1400,
				Stages: []stageSpec{{"counter-app", []int{}, 3000000}},
				items: func(r *dice) []int {
					if r.Float64() < 0.7 {
						return []int{1 + r.IntN(4)}
					}
					return []int{0}
				},
				events: func(r *dice) int { return 40 + r.IntN(60) },
			},
			{
				Name: "job-submit", Host: "jepu9.example", Prefix: "/bobo563/", Type: "non_idempotent", TimeoutMs: 1200, SloMs: 150, Priority: 2,
				Service: "queue-api", MaxAttempts: 1, method: "POST", perS: 7.46, body: 600,
			},
			{
				Name: "job-lookup", Host: "jepu9.example", Prefix: "/wuhu344/", Type: "idempotent", TimeoutMs: 1200, SloMs: 150, Priority: 2,
				Service: "queue-api", MaxAttempts: 2, method: "GET", perS: 3.85,
			},
		},
	}
}
