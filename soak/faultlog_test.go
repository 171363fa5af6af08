package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// faultLog writes the times of faults as JSON lines beside the logs of the entry VMs.
type faultLog struct {
	mu      sync.Mutex
	file    *os.File
	encoder *json.Encoder
}

func newFaultLog(dir string) (*faultLog, error) {
	file, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return nil, err
	}
	return &faultLog{file: file, encoder: json.NewEncoder(file)}, nil
}

func (l *faultLog) add(fault, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.encoder.Encode(map[string]any{"timestamp": time.Now().UTC(), "fault": fault, "detail": detail})
}

func (l *faultLog) close() { _ = l.file.Close() }
