package ini

import (
	"crypto/tls"
	"crypto/x509"

	"ibiswinch/core/settings"
)

// tlsCertificate reads the certificate of a listener; the result is nil for plain HTTP and after an error.
func (r *reader) tlsCertificate(s *settings.Section) *tls.Certificate {
	certFile := settings.Optional(s, "tlsCertFile", settings.Text, "")
	keyFile := settings.Optional(s, "tlsKeyFile", settings.Text, "")
	switch {
	case certFile != "" && keyFile != "":
		return r.loadKeyPair(s, certFile, keyFile)
	case certFile != "":
		s.Problemf("tlsKeyFile", "the key is required together with tlsCertFile")
	case keyFile != "":
		s.Problemf("tlsCertFile", "the key is required together with tlsKeyFile")
	}
	return nil
}

func (r *reader) loadKeyPair(s *settings.Section, certFile, keyFile string) *tls.Certificate {
	cert, err := r.readFile(certFile)
	if err != nil {
		s.Problemf("tlsCertFile", "%v", err)
	}
	key, keyErr := r.readFile(keyFile)
	if keyErr != nil {
		s.Problemf("tlsKeyFile", "%v", keyErr)
	}
	if err != nil || keyErr != nil {
		return nil
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		s.Problemf("tlsCertFile", "certificate and key: %v", err)
		return nil
	}
	return &pair
}

// certificateAuthorities reads the CA certificates that verify the peers' certificates; the result is nil for plain
// HTTP and after an error.
func (r *reader) certificateAuthorities(s *settings.Section) *x509.CertPool {
	file := settings.Optional(s, "tlsCAFile", settings.Text, "")
	switch {
	case file != "" && !s.Has("tlsCertFile"):
		s.Problemf("tlsCertFile", "the key is required together with tlsCAFile")
		return nil
	case file == "" && s.Has("tlsCertFile"):
		s.Problemf("tlsCAFile", "the key is required together with tlsCertFile")
		return nil
	case file == "":
		return nil
	}
	data, err := r.readFile(file)
	if err != nil {
		s.Problemf("tlsCAFile", "%v", err)
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		s.Problemf("tlsCAFile", "%s has no certificate in PEM", file)
		return nil
	}
	return pool
}
