package main

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// hostileFields returns short header lines, each with a name of its own, of about the given size in all.
func hostileFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "a%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return b.String()
}

func repeatTo(size int, piece string) string { return strings.Repeat(piece, size/len(piece)+1)[:size] }

// writeSlowly writes pieces of text with a pause after each.
func writeSlowly(conn net.Conn, text string, piece int) {
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(hostileSlowPause)
	}
}

// Plays of crowds. Those whose bodies stop do so one byte before the end.

func playNothing(net.Conn, hostileDoor) {}

func playStalledBody(size int) hostilePlay {
	text := repeatTo(size-1, "a")
	return func(conn net.Conn, d hostileDoor) {
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", d.start("POST"), size, text)
	}
}

// playHalfHandshake sends the start of a TLS handshake.
func playHalfHandshake(conn net.Conn, _ hostileDoor) {
	_, _ = conn.Write([]byte{22, 3, 1, 2, 0, 1, 0})
	awaitReset(conn)
}

// playBody sends whole requests one after the other and reads nothing.
func playBody(size int) hostilePlay {
	text := repeatTo(size, "a")
	return func(conn net.Conn, d hostileDoor) {
		for {
			if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", d.start("POST"), size, text); err != nil {
				return
			}
		}
	}
}

func playStalledPieces(size int) hostilePlay {
	piece := repeatTo(997, "a")
	return func(conn net.Conn, d hostileDoor) {
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", d.start("POST"), size)
		for sent := 0; err == nil && sent < size-1; sent += len(piece) {
			_, err = io.WriteString(conn, piece[:min(len(piece), size-1-sent)])
		}
	}
}

func playStalledChunks(size int) hostilePlay {
	chunk := "3e5\r\n" + repeatTo(0x3e5, "a") + "\r\n"
	return func(conn net.Conn, d hostileDoor) {
		_, err := fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", d.start("POST"))
		for sent := 0; err == nil && sent < size-0x3e5; sent += 0x3e5 {
			_, err = io.WriteString(conn, chunk)
		}
	}
}

// playOversized sends bodies far over the limit, half of them with their length and half of them in chunks.
func playOversized(size int) hostilePlay {
	text := repeatTo(64<<10, "a")
	return func(conn net.Conn, d hostileDoor) {
		framing, piece := fmt.Sprintf("Content-Length: %d", size), text
		if conn.LocalAddr().(*net.TCPAddr).Port%2 == 0 {
			framing, piece = "Transfer-Encoding: chunked", "10000\r\n"+text+"\r\n"
		}
		_, err := fmt.Fprintf(conn, "%s%s\r\n\r\n", d.start("POST"), framing)
		for sent := 0; err == nil && sent < size; sent += len(text) {
			_, err = io.WriteString(conn, piece)
		}
	}
}

// playFields sends heads of short fields whose body doesn't arrive, up to the legal size or, at doors without a stated limit, to
// maxHead.
func playFields() hostilePlay {
	return func(conn net.Conn, d hostileDoor) {
		_, _ = fmt.Fprintf(conn, "%s%sContent-Length: 10\r\n\r\n", d.start("POST"), hostileFields(d.maxHead))
	}
}

func playQuery() hostilePlay {
	return func(conn net.Conn, d hostileDoor) {
		d.target += "?" + repeatTo(hostileHead, "a=&")
		_, _ = fmt.Fprintf(conn, "%sContent-Length: 10\r\n\r\n", d.start("POST"))
	}
}

// playHalfHead stops in the middle of a head of short fields.
func playHalfHead() hostilePlay {
	return func(conn net.Conn, d hostileDoor) {
		_, _ = io.WriteString(conn, d.start("POST")+hostileFields(d.maxHead)+"half")
	}
}

func playSlowHead() hostilePlay {
	return func(conn net.Conn, d hostileDoor) { writeSlowly(conn, d.start("POST")+hostileFields(hostileHead), 40) }
}

func playSlowBody() hostilePlay {
	text := repeatTo(64<<10, "a")
	return func(conn net.Conn, d hostileDoor) {
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", d.start("POST"), hostileBody, text); err == nil {
			writeSlowly(conn, text, 1)
		}
	}
}

// playExtensions sends chunks of one byte with an extension each, without end.
func playExtensions(size int) hostilePlay {
	piece := "1;a;b;c;d;e;f;g;h\r\na\r\n"
	return func(conn net.Conn, d hostileDoor) {
		_, err := fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", d.start("POST"))
		for sent := 0; err == nil && sent < size; sent += 100 * len(piece) {
			_, err = io.WriteString(conn, strings.Repeat(piece, 100))
		}
	}
}

// playTrailers sends short trailer fields without end.
func playTrailers(size int) hostilePlay {
	return func(conn net.Conn, d hostileDoor) {
		_, err := fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", d.start("POST"))
		for sent := 0; err == nil && sent < size; sent += hostileHead {
			_, err = io.WriteString(conn, hostileFields(hostileHead))
		}
	}
}

// playPipelined sends whole requests one after the other and reads nothing.
func playPipelined(requests int) hostilePlay {
	return func(conn net.Conn, d hostileDoor) {
		text := strings.Repeat(d.start("POST")+"Content-Length: 2\r\n\r\nok", 20)
		for range requests / 20 {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

// playNoReader sends one request, reads nothing of its answer, and returns once the connection has been closed.
func playNoReader(body string) hostilePlay {
	return func(conn net.Conn, d hostileDoor) {
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", d.start("POST"), len(body), body)
		awaitReset(conn)
	}
}

// awaitReset returns once the peer has reset or closed a connection from which nothing is read.
func awaitReset(conn net.Conn) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	for open := true; err == nil && open; time.Sleep(hostileSampleInterval) {
		err = raw.Control(func(fd uintptr) {
			info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			open = infoErr == nil && info.State == tcpEstablished
		})
	}
}

// tcpEstablished is the state of a connection that neither side has closed.
const tcpEstablished = 1

// playSlowReader sends one request and reads its answer a few bytes at a time.
func playSlowReader(body string) hostilePlay {
	return func(conn net.Conn, d hostileDoor) {
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", d.start("POST"), len(body), body); err != nil {
			return
		}
		for reader := bufio.NewReaderSize(conn, 16); ; time.Sleep(hostileSlowPause) {
			if _, err := reader.ReadByte(); err != nil {
				return
			}
		}
	}
}
