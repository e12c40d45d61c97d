package sets

// Listen is an address to listen on.
type Listen struct {
	Listen string `yaml:"listen" validate:"required,ip_port"` // IP:port
}

// TLS names the PEM files for mutual TLS. The certificate and the key are
// reloaded when the certificate file changes.
type TLS struct {
	Cert string `yaml:"cert" validate:"required"` // certificate of this process
	Key  string `yaml:"key" validate:"required"`  // private key of the certificate
	CA   string `yaml:"ca" validate:"required"`   // CA certificates that sign the peers' certificates
}

// Files returns the names of the files. They are empty for a nil receiver.
func (t *TLS) Files() (cert, key, ca string) {
	if t == nil {
		return "", "", ""
	}
	return t.Cert, t.Key, t.CA
}
