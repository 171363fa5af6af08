package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// ValueType is the type of a value: its name and the parser of its text.
type ValueType[T any] struct {
	// Name describes the type and its unit in the documentation.
	Name  string
	Parse func(text string) (T, error)
}

// maxNameBytes limits the length of names. It is far below the limit on names in the envelope of a log record.
const maxNameBytes = 63

// isName uses no regular expression, since that took a tenth of the time to read a large inventory.
func isName(text string) bool {
	if text == "" || len(text) > maxNameBytes {
		return false
	}
	for i := range len(text) {
		c := text[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", rune(c))) {
			return false
		}
	}
	return true
}

// Name is an identifier of letters, digits, '.', '_' and '-'.
var Name = ValueType[string]{Name: "name", Parse: func(text string) (string, error) {
	if !isName(text) {
		return "", fmt.Errorf("%q is not a name (1 to %d letters, digits, '.', '_' or '-')", text, maxNameBytes)
	}
	return text, nil
}}

// Text is any non-empty text.
var Text = ValueType[string]{Name: "text", Parse: func(text string) (string, error) {
	if text == "" {
		return "", fmt.Errorf("the value is empty")
	}
	return text, nil
}}

// Address is an IP address with a port.
var Address = ValueType[netip.AddrPort]{Name: "IP:port", Parse: func(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, fmt.Errorf("%q is not an IP address with a port, such as 10.0.0.1:8080 or [fd00::1]:8080", text)
	}
	return a, nil
}}

// Bool is yes or no.
var Bool = ValueType[bool]{Name: "yes|no", Parse: func(text string) (bool, error) {
	switch text {
	case "yes", "true":
		return true, nil
	case "no", "false":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither yes nor no", text)
}}

// Time is a time in RFC 3339 format; it is returned in UTC.
var Time = ValueType[time.Time]{Name: "RFC 3339 time", Parse: func(text string) (time.Time, error) {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("%q is not an RFC 3339 time such as 2026-06-01T12:00:00Z", text)
	}
	return t.UTC(), nil
}}

// Digest is a SHA-256 digest.
type Digest [32]byte

// SHA256 is a digest in 64 hexadecimal digits.
var SHA256 = ValueType[Digest]{Name: "SHA-256 in hex", Parse: func(text string) (Digest, error) {
	var d Digest
	if n, err := hex.Decode(d[:], []byte(truncate(text, 2*len(d)))); err != nil || n != len(d) || len(text) != 2*len(d) {
		return d, fmt.Errorf("the value is not a SHA-256 digest of 64 hexadecimal digits")
	}
	return d, nil
}}

func truncate(text string, n int) string { return text[:min(n, len(text))] }

// Duration is a duration with its unit, within the bounds.
func Duration(least, most time.Duration) ValueType[time.Duration] {
	name := fmt.Sprintf("duration, %v to %v", least, most)
	return ValueType[time.Duration]{Name: name, Parse: func(text string) (time.Duration, error) {
		d, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration with a unit, such as 500ms or 2m", text)
		}
		if d < least || d > most {
			return 0, fmt.Errorf("%v is not within %v and %v", d, least, most)
		}
		return d, nil
	}}
}

// Count is a whole number within the bounds.
func Count(least, most uint64) ValueType[uint64] {
	name := fmt.Sprintf("count, %d to %d", least, most)
	return ValueType[uint64]{Name: name, Parse: func(text string) (uint64, error) {
		n, err := strconv.ParseUint(strings.ReplaceAll(text, "_", ""), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number", text)
		}
		if n < least || n > most {
			return 0, fmt.Errorf("%d is not within %d and %d", n, least, most)
		}
		return n, nil
	}}
}

// Percent is a share written with a percent sign; the value is the fraction.
func Percent(least, most float64) ValueType[float64] {
	name := fmt.Sprintf("percent, %v%% to %v%%", least, most)
	return ValueType[float64]{Name: name, Parse: func(text string) (float64, error) {
		digits, found := strings.CutSuffix(text, "%")
		p, err := strconv.ParseFloat(digits, 64)
		if err != nil || !found {
			return 0, fmt.Errorf("%q is not a percentage such as 12.5%%", text)
		}
		if !(p >= least && p <= most) {
			return 0, fmt.Errorf("%v%% is not within %v%% and %v%%", p, least, most)
		}
		return p / 100, nil
	}}
}

// Units of sizes.
const (
	KiB = 1 << 10
	MiB = 1 << 20
	GiB = 1 << 30
)

// Bytes is a size with its unit (B, KiB, MiB or GiB), within the bounds.
func Bytes(least, most uint64) ValueType[uint64] {
	name := fmt.Sprintf("size, %s to %s", formatBytes(least), formatBytes(most))
	return ValueType[uint64]{Name: name, Parse: func(text string) (uint64, error) {
		n, err := parseBytes(text)
		if err != nil {
			return 0, err
		}
		if n < least || n > most {
			return 0, fmt.Errorf("%s is not within %s and %s", text, formatBytes(least), formatBytes(most))
		}
		return n, nil
	}}
}

func parseBytes(text string) (uint64, error) {
	digits := strings.TrimRight(text, "BKMGi")
	n, err := strconv.ParseUint(digits, 10, 32)
	units := map[string]uint64{"B": 1, "KiB": KiB, "MiB": MiB, "GiB": GiB}
	unit := units[text[len(digits):]]
	if err != nil || unit == 0 {
		return 0, fmt.Errorf("%q is not a size with a unit, such as 64KiB or 256MiB", text)
	}
	return n * unit, nil
}

func formatBytes(n uint64) string {
	switch {
	case n >= GiB && n%GiB == 0:
		return fmt.Sprintf("%dGiB", n/GiB)
	case n >= MiB && n%MiB == 0:
		return fmt.Sprintf("%dMiB", n/MiB)
	case n >= KiB && n%KiB == 0:
		return fmt.Sprintf("%dKiB", n/KiB)
	}
	return fmt.Sprintf("%dB", n)
}

// OneOf is one of a few words.
func OneOf[T ~string](words ...T) ValueType[T] {
	known := make([]string, len(words))
	for i, w := range words {
		known[i] = string(w)
	}
	return ValueType[T]{Name: strings.Join(known, "|"), Parse: func(text string) (T, error) {
		for _, w := range words {
			if string(w) == text {
				return w, nil
			}
		}
		return "", fmt.Errorf("unknown value %q%s", text, suggestNearest(text, known))
	}}
}
