// Package operator is the HTTP handler for operators: the state dump, the report and the metrics of the process.
package operator

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
)

// Config holds the settings of a handler.
type Config struct {
	Token string
	// Dump and Report return the values that /dump and /report serve as JSON.
	Dump    func() any
	Report  func() any
	Metrics http.Handler
}

// NewHandler returns a handler that serves /dump and /report with the token, and /metrics and /healthz without it.
func NewHandler(cfg Config) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /dump", authenticate(cfg.Token, writeJSON(cfg.Dump)))
	mux.Handle("GET /report", authenticate(cfg.Token, writeJSON(cfg.Report)))
	mux.Handle("GET /metrics", cfg.Metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return mux
}

func authenticate(token string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(presented), []byte(token)) != 1 {
			http.Error(w, "wrong operator token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(value func() any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, err := json.MarshalIndent(value(), "", "  ")
		if err != nil {
			http.Error(w, "encode: "+err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(append(data, '\n'))
	})
}
