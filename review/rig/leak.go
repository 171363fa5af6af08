//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leakServers is the number of servers, faultyServers that of the faulty ones: a share of 0.6.
	leakServers   = 5
	faultyServers = 3
	// spoiledShare is the share of their answers that faulty servers follow by additional bytes, for leakTime.
	spoiledShare = 0.03
	leakTime     = 5 * time.Second
	// leakGap is the pause between two requests.
	leakGap = 4 * time.Millisecond
)

// orderMark matches what tells the orders apart in the bodies of answers.
var orderMark = regexp.MustCompile("bronze-bell-of-[0-9a-f]{16}")

// playLeak lets faulty servers send additional bytes after complete answers, where the answers to the next requests are due.
func playLeak(f *fleet, r *recorder, trouble bool) error {
	err := f.publish(
		[]map[string]any{{
			"name": "order", "host": host, "path_prefix": "/order/", "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": "foundry-app", "attempts": 1,
		}},
		[]map[string]any{{"name": "foundry-app", "health_path": "/health", "connection_limit": 110}},
		[]map[string]any{{"name": "tenant-a", "api_keys": []string{"key-a"}}, {"name": "tenant-b", "api_keys": []string{"key-b"}}},
	)
	if err != nil {
		return err
	}
	b := &leakingServers{}
	for i := range leakServers {
		serve := func(c net.Conn) { b.serve(c, i < faultyServers) }
		if _, err := f.add(&server{service: "foundry-app", version: "v1", serveConn: serve}); err != nil {
			return err
		}
	}
	if err := f.startVMs(len(zones)); err != nil {
		return err
	}
	time.Sleep(stability)
	b.isFaulty.Store(trouble)
	var wg sync.WaitGroup
	var leaked, sent atomic.Int64
	for until := time.Now().Add(leakTime); time.Now().Before(until); time.Sleep(leakGap) {
		n := int(sent.Add(1))
		tenant := string("ab"[n%2])
		wg.Go(func() {
			a := send(f.vms[n%len(f.vms)].front, request{
				method: http.MethodPost, target: "/order/" + tenant, key: "key-" + tenant, body: "x", deadline: 3 * time.Second,
			})
			for _, mark := range orderMark.FindAllString(a.body, -1) {
				if mark != "bronze-bell-of-"+a.id {
					leaked.Add(1)
					r.add("FOREIGN: tenant %s, %s, seal %q, body %q", tenant, a.String(), a.seal, a.body)
					return
				}
			}
			r.add("tenant %s, %s, seal %q, body %q", tenant, a.String(), a.seal, a.body)
		})
	}
	wg.Wait()
	r.add("%d answers were followed by additional bytes; %d of %d clients got what belongs to another request", b.spoiled.Load(), leaked.Load(), sent.Load())
	if leaked.Load() > 0 {
		return errBroken
	}
	return nil
}

// leakingServers are servers of which some, while they are faulty, write a part of an answer once more where the next answer on the
// connection is due.
type leakingServers struct {
	isFaulty atomic.Bool
	spoiled  atomic.Int64
}

// serve answers the requests on a connection.
func (b *leakingServers) serve(c net.Conn, mayBeFaulty bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	rest := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		time.Sleep(time.Duration(10+rand.IntN(10)) * time.Millisecond)
		id := req.Header.Get("Request-Id")
		body := fmt.Sprintf(`{"item":"bronze-bell-of-%s","tenant":%q,"price":4100}`, id, req.Header.Get("Tenant"))
		_, err = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Length: %d\r\n\r\n%s", rest, id, id, len(body), body)
		if err != nil {
			return
		}
		rest = ""
		if mayBeFaulty && b.isFaulty.Load() && rand.Float64() < spoiledShare {
			b.spoiled.Add(1)
			rest = body + "\r\n"
		}
	}
}
