package host

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// DecodeBody reads the JSON body of r, at most limit bytes, into v. It answers 400 or 413 and reports false on an
// error.
func DecodeBody(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	data, ok := ReadBody(w, r, limit)
	if !ok {
		return false
	}
	if err := json.Unmarshal(data, v); err != nil {
		WriteError(w, http.StatusBadRequest, "badRequest", err.Error())
		return false
	}
	return true
}

// ReadBody reads the body of r, at most limit bytes. It answers 400 or 413 and reports false on an error.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		WriteError(w, http.StatusRequestEntityTooLarge, "tooLarge", err.Error())
		return nil, false
	case err != nil:
		WriteError(w, http.StatusBadRequest, "badRequest", err.Error())
		return nil, false
	}
	return data, true
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the code and the message of an error.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// WriteError answers with a status and an error as JSON.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, ErrorBody{Error: ErrorDetail{Code: code, Message: message}})
}

// WriteJSON answers with a status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// AbortConnection aborts the handler and closes the connection without an answer.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
