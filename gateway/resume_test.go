package gateway

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
)

// brokenStream is a stream that breaks off after some events.
func brokenStream(ids ...string) sendResult {
	return sendResult{answer: &fakeAnswer{status: 200, stream: true, events: events(ids...), end: io.ErrUnexpectedEOF}}
}

func wholeStream(ids ...string) *fakeAnswer {
	return &fakeAnswer{status: 200, stream: true, events: events(ids...)}
}

// TestResumedStreamHoldsOnlyItsEvents guards against bytes of an error, an event that is missing, comes twice or is out of
// order, and an end that looks complete, in a stream that broke off and whose next server doesn't go on with it.
func TestResumedStreamHoldsOnlyItsEvents(t *testing.T) {
	failure := wholeStream("3")
	failure.status = 500
	unsigned := wholeStream("3")
	unsigned.unsigned = true
	for name, next := range map[string]*fakeAnswer{
		"signed 500":              {status: 500, body: "no"},
		"unsigned 500":            {status: 500, body: "no", unsigned: true},
		"signed 404":              {status: 404, body: "no"},
		"signed 200, no stream":   {status: 200, body: "whole"},
		"unsigned 200, no stream": {status: 200, body: "whole", unsigned: true},
		"503, did not run":        {status: 503, notRun: true},
		"429, did not run":        {status: 429, notRun: true, unsigned: true},
		"421":                     {status: 421, misdirected: true, unsigned: true},
		"stream with status 500":  failure,
		"unsigned stream":         unsigned,
		"from the first event":    wholeStream("1", "2", "3", "4"),
		"last event again":        wholeStream("2", "3", "4"),
		"an event is missing":     wholeStream("4", "5"),
		"first event without id":  wholeStream("", "3"),
		"first event with a name": wholeStream("error"),
		"no event":                wholeStream(),
		"going back":              wholeStream("3", "2"),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, brokenStream("1", "2"), sendResult{answer: next}, sendResult{answer: next}, sendResult{answer: next})
			r := f.post("/chat/1")
			want := "id:1\n\nid:2\n\n"
			if name == "going back" {
				want += "id:3\n\n"
			}
			f.c.Check(r.body, qt.Equals, want)
			f.c.Check(r.status, qt.Equals, 200)
			f.c.Check(r.refused == nil, qt.IsTrue)
			f.c.Check(r.heads, qt.Equals, 1)
			f.c.Check(r.aborted, qt.IsTrue)
			f.c.Check(r.finished, qt.IsFalse)
		})
	}
}

// TestStreamIsResumedAfterRefusal guards against giving up a stream that broke off, when one server refuses to go on with it
// and another one would.
func TestStreamIsResumedAfterRefusal(t *testing.T) {
	f := newFixture(t, brokenStream("1"), rejected, sendResult{answer: wholeStream("2", "3")})
	r := f.post("/chat/1")
	f.c.Assert(r.body, qt.Equals, "id:1\n\nid:2\n\nid:3\n\n")
	f.c.Assert(r.finished, qt.IsTrue)
}

// TestEventIDs guards against giving up a sound stream because of the way in which its server numbers events.
func TestEventIDs(t *testing.T) {
	for _, test := range []struct{ broken, next []string }{
		{[]string{"0"}, []string{"1", "2"}},
		{[]string{"4", "8"}, []string{"12", "16"}},
		{[]string{"1", "2", "5"}, []string{"9", "11"}},
		{[]string{"a", "b"}, []string{"c", "d"}},
	} {
		f := newFixture(t, brokenStream(test.broken...), sendResult{answer: wholeStream(test.next...)})
		f.c.Check(f.post("/chat/1").finished, qt.IsTrue, qt.Commentf("%q", test))
	}
}

// TestCallerGetsEventsAgain guards against events that a caller who resumes a stream has already, when the server doesn't go on
// after the one that the caller named.
func TestCallerGetsEventsAgain(t *testing.T) {
	for _, first := range []string{"1", "2"} {
		f := newFixture(t, sendResult{answer: wholeStream(first, "7")}, sendResult{answer: wholeStream("3", "4")})
		r := f.serve(&call.Call{Path: "/chat/1", LastEventID: "2"})
		f.c.Check(r.body, qt.Equals, "id:3\n\nid:4\n\n", qt.Commentf("first event %s", first))
	}
}

// TestSoundResumptionIsRejected guards against giving up a stream that a caller resumes because its ids aren't consecutive.
func TestSoundResumptionIsRejected(t *testing.T) {
	for _, ids := range [][]string{{"3", "4"}, {"6", "10"}, {"b", "c"}} {
		f := newFixture(t, sendResult{answer: wholeStream(ids...)})
		last := "2"
		if ids[0] == "b" {
			last = "a"
		}
		r := f.serve(&call.Call{Path: "/chat/1", LastEventID: last})
		f.c.Check(r.body, qt.Equals, "id:"+ids[0]+"\n\nid:"+ids[1]+"\n\n")
	}
}
