package ini

import (
	"crypto/tls"
	"net/netip"

	"ibiswinch/core/settings"
)

// Callers holds the settings of the listener for callers.
type Callers struct {
	Listen netip.AddrPort
	// Certificate is nil if the listener speaks plain HTTP.
	Certificate *tls.Certificate
}

func (r *reader) callers() Callers {
	s := r.file.UnnamedSection("callers")
	return Callers{
		Listen:      settings.Optional(s, "listen", settings.Address, "0.0.0.0:8080"),
		Certificate: r.tlsCertificate(s),
	}
}

// listenersConflict reports whether two listeners can't both bind their addresses.
func listenersConflict(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
