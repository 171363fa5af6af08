package config

import (
	"fmt"
	"net/http"
	"path"
	"strings"
	"time"

	"ibiswinch/core/settings"
)

// Service is a plain service: one whose backend servers are HTTP servers, not model engines.
type Service struct {
	Name    string
	Timeout time.Duration
	// Idempotent and NotIdempotent are patterns of calls. The most specific one that matches a call decides.
	Idempotent    []CallPattern
	NotIdempotent []CallPattern
}

// CallPattern is a pattern of calls: a method and a path.
type CallPattern struct {
	// Method is "*" for all methods.
	Method string
	// Path is exact, or a prefix if it ends with "/*".
	Path string
}

func (c CallPattern) String() string { return c.Method + " " + c.Path }

// specificity returns how specifically the pattern matches a call, 0 if it doesn't match. A longer path counts more
// than a named method.
func (c CallPattern) specificity(method, cleanPath string) int {
	if c.Method != "*" && c.Method != method {
		return 0
	}
	specific := 2 * len(c.Path)
	if c.Method != "*" {
		specific++
	}
	prefix, isPrefix := strings.CutSuffix(c.Path, "*")
	switch {
	case isPrefix && strings.HasPrefix(cleanPath+"/", prefix):
		return specific
	case !isPrefix && cleanPath == c.Path:
		return specific
	}
	return 0
}

// IsIdempotent reports whether a call may run more than once. For a call that matches no pattern the method decides:
// GET, HEAD and OPTIONS are idempotent. All others are not, since a wrong guess may run an order twice.
func (s Service) IsIdempotent(method, requestPath string) bool {
	cleanPath := path.Clean("/" + requestPath)
	idempotent, notIdempotent := 0, 0
	for _, c := range s.Idempotent {
		idempotent = max(idempotent, c.specificity(method, cleanPath))
	}
	for _, c := range s.NotIdempotent {
		notIdempotent = max(notIdempotent, c.specificity(method, cleanPath))
	}
	if idempotent == 0 && notIdempotent == 0 {
		return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	}
	return idempotent > notIdempotent
}

var callPatternType = settings.ValueType[CallPattern]{Name: "METHOD /path", Parse: func(text string) (CallPattern, error) {
	method, p, found := strings.Cut(text, " ")
	p = strings.TrimSpace(p)
	c := CallPattern{Method: method, Path: p}
	if !found || strings.ToUpper(method) != method || !strings.HasPrefix(p, "/") {
		return c, fmt.Errorf("%q is not a call such as POST /orders or * /items/*", text)
	}
	prefix := strings.TrimSuffix(p, "/*")
	if strings.Contains(prefix, "*") || (prefix != "" && path.Clean(prefix) != prefix) {
		return c, fmt.Errorf("path %q must be clean, and '*' may only be its last part", p)
	}
	return c, nil
}}
