package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

func init() {
	register("dump", "Print the state of one process as JSON.", &dumpCommand{operatorCommand{path: "/dump"}})
	register("report", "Print what has happened: versions, changes, budgets, unknown orders.", &reportCommand{operatorCommand{path: "/report"}})
}

// operatorTimeout bounds a request to the operator listener.
const operatorTimeout = 10 * time.Second

// operatorCommand prints one page of the operator listener.
type operatorCommand struct {
	path string

	Address string `default:"127.0.0.1:8082" help:"Operator listener of the entry VM, ip:port."`
	CA      string `name:"ca" type:"existingfile" help:"Certificates in PEM that the entry VM's certificate is checked with; https is used with it."`
	Token   string `required:"" env:"IBISWINCH_OPERATOR_TOKEN" help:"Operator token."`
}

type (
	dumpCommand   struct{ operatorCommand }
	reportCommand struct{ operatorCommand }
)

// Run prints the page.
func (c *operatorCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	client, scheme, err := c.client()
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+c.Address+c.path, nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "request to the entry VM")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("entry VM answered %s", resp.Status)
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return eris.Wrap(err, "print response")
}

// client returns an HTTP client and the URL scheme for it: https if there is a CA.
func (c *operatorCommand) client() (client *http.Client, scheme string, err error) {
	if c.CA == "" {
		return http.DefaultClient, "http", nil
	}
	data, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, "", eris.Wrap(err, "read --ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, "", eris.Errorf("--ca: %s has no certificate in PEM", c.CA)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return &http.Client{Transport: transport}, "https", nil
}
