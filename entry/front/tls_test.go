package front

import (
	"bufio"
	"crypto/tls"
	"net/http/httptest"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestStopTLS guards against callers under TLS that aren't served, or whose connections outlast a
// stop.
func TestStopTLS(t *testing.T) {
	ts := httptest.NewUnstartedServer(nil) // for its certificate
	ts.StartTLS()
	defer ts.Close()
	s, raw, _ := startStalledServer(t, &stallListener{tls: &tls.Config{Certificates: ts.TLS.Certificates}})
	c := tls.Client(raw, &tls.Config{InsecureSkipVerify: true}) // the certificate is not what is tested
	r := bufio.NewReader(c)
	for range 2 {
		send(t, c, healthRequest)
		checkResponse(t, r, fasthttp.StatusOK)
	}
	if err := <-stopAccepting(s); err != nil {
		t.Errorf("Stop: %v", err)
	}
}
