package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/membership"
	"ibiswinch/entry"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key.
func writeCertificate(c *qt.C, dir string) (certFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	keyData, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600), qt.IsNil)
		return path
	}
	return write("cert.pem", "CERTIFICATE", cert), write("key.pem", "PRIVATE KEY", keyData)
}

// runDump runs ibiswinch dump.
func (f *fleet) runDump(vm *vmProcess, args ...string) (entry.Dump, error) {
	args = append([]string{"dump", "--address", vm.operatorAddress, "--token", operatorToken}, args...)
	out, err := exec.Command(filepath.Join(f.dir, "ibiswinch"), args...).Output()
	if err != nil {
		return entry.Dump{}, err
	}
	var d entry.Dump
	return d, json.Unmarshal(out, &d)
}

// TestTLSBetweenVMs guards against entry VMs that can't reach each other, or can't be reached by operators, when their
// listeners have certificates, and against a listener that still accepts plain HTTP.
func TestTLSBetweenVMs(t *testing.T) {
	c := qt.New(t)
	f := &fleet{c: c, dir: buildBinaries(c), platformAddress: freeAddress(c), serviceAddress: freeAddress(c)}
	cert, key := writeCertificate(c, f.dir)
	f.start("standin", "platform", "--listen", f.platformAddress)
	files := "tlsCertFile = " + cert + "\ntlsKeyFile = " + key + "\n"
	f.peerTLSLines, f.operatorTLSLines = files+"tlsCAFile = "+cert+"\n", files
	f.addVM("vm0", "east-1", 0)
	f.addVM("vm1", "east-1", 1)
	out, err := f.publish(0)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	for i, vm := range f.vms {
		f.awaitReady(vm)
		f.await("the other entry VM", func() bool {
			d, err := f.runDump(vm, "--ca", cert)
			c.Assert(err, qt.IsNil)
			for _, m := range d.Members {
				if m.Author.VM != d.Author.VM && m.State == membership.Live {
					return true
				}
			}
			return false
		})
		_, err := f.runDump(vm)
		c.Check(err, qt.IsNotNil, qt.Commentf("vm%d answers without TLS", i))
	}
	resp, err := http.Get("http://" + f.vms[0].operatorAddress + "/healthz")
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, http.StatusBadRequest)
}
