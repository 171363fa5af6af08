package ini

import (
	"crypto/tls"
	"net/netip"

	"ibiswinch/core/settings"
)

// Operator holds the settings of the listener for operators.
type Operator struct {
	Listen netip.AddrPort
	Token  Token
	// Certificate is nil if the listener speaks plain HTTP.
	Certificate *tls.Certificate
}

func (r *reader) operator() Operator {
	s := r.file.UnnamedSection("operator")
	return Operator{
		Listen: settings.Optional(s, "listen", settings.Address, "127.0.0.1:8082"),
		Token:  r.token(s, true),

		Certificate: r.tlsCertificate(s),
	}
}
