package ini

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"

	"ibiswinch/core/settings"
)

// Peers holds the settings of the listener for other entry VMs, and the addresses of peers that are known at the start.
type Peers struct {
	Listen netip.AddrPort
	// Advertise is the address at which other entry VMs reach this one.
	Advertise netip.AddrPort
	// Token is the bearer token of all calls between entry VMs.
	Token Token
	// Addresses are peers to contact before the platform's list of VMs has been read.
	Addresses []netip.AddrPort
	// Certificate and Authorities are nil if peers speak plain HTTP. Authorities check the certificates of other peers,
	// which must name the IP address that they advertise.
	Certificate *tls.Certificate
	Authorities *x509.CertPool
}

func (r *reader) peers() Peers {
	s := r.file.UnnamedSection("peers")
	p := Peers{
		Listen:    settings.Optional(s, "listen", settings.Address, "0.0.0.0:8081"),
		Advertise: settings.Optional(s, "advertise", settings.Address, ""),
		Addresses: settings.List(s, "addresses", settings.Address, ""),
		Token:     r.token(s, true),

		Certificate: r.tlsCertificate(s),
		Authorities: r.certificateAuthorities(s),
	}
	if !s.Has("advertise") {
		p.Advertise = p.Listen
	}
	if p.Advertise.IsValid() && (p.Advertise.Addr().IsUnspecified() || p.Advertise.Port() == 0) {
		s.Problemf("advertise", "%v can't be reached by peers; an IP address with a port is required", p.Advertise)
	}
	return p
}
