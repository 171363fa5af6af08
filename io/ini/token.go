package ini

import (
	"fmt"
	"strings"

	"ibiswinch/core/settings"
)

// minTokenBytes is the least length of a token, against guessing.
const minTokenBytes = 16

// Token is a secret. It is formatted as a placeholder, so that it doesn't appear in logs or dumps.
type Token struct{ secret string }

// Reveal returns the secret.
func (t Token) Reveal() string { return t.secret }

// IsZero reports whether there is no token.
func (t Token) IsZero() bool { return t.secret == "" }

// Format writes a placeholder for every verb.
func (t Token) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte("[token]")) }

// MarshalText writes a placeholder.
func (t Token) MarshalText() ([]byte, error) { return []byte("[token]"), nil }

// token reads the token from the key token or from the file named by tokenFile. One of the keys must be given if the
// token is required.
func (r *reader) token(s *settings.Section, required bool) Token {
	text := settings.Optional(s, "token", settings.Text, "")
	path := settings.Optional(s, "tokenFile", settings.Text, "")
	key := "token"
	switch {
	case s.Has("token") && s.Has("tokenFile"):
		s.Problemf("tokenFile", "token and tokenFile exclude each other")
		return Token{}
	case path != "":
		key = "tokenFile"
		data, err := r.readFile(path)
		if err != nil {
			s.Problemf(key, "%v", err)
			return Token{}
		}
		text = strings.TrimSpace(string(data))
	case text == "":
		if required && !s.Has("token") && !s.Has("tokenFile") {
			s.Problemf("token", "token or tokenFile is required")
		}
		return Token{}
	}
	if len(text) < minTokenBytes || strings.ContainsFunc(text, isInvalidTokenRune) {
		s.Problemf(key, "a token has at least %d printable ASCII characters without spaces", minTokenBytes)
		return Token{}
	}
	return Token{secret: text}
}

func isInvalidTokenRune(r rune) bool { return r <= ' ' || r > '~' }
