package sets

// Listen is an address to listen on.
type Listen struct {
	Listen string `yaml:"listen" validate:"required,ip_port"` // IP:port
}

// TLS names the files of mutual TLS. They are read again when they change.
type TLS struct {
	Cert string `yaml:"cert" validate:"required"` // certificate, PEM
	Key  string `yaml:"key" validate:"required"`  // its key
	CA   string `yaml:"ca" validate:"required"`   // authorities of the other side
}

// Files returns the names of the files, empty for a nil receiver.
func (t *TLS) Files() (cert, key, ca string) {
	if t == nil {
		return "", "", ""
	}
	return t.Cert, t.Key, t.CA
}
