package endless

import (
	"bytes"
	"io"
	"net"
	"net/http"
)

// chunkSize is about the size in bytes of one write.
const chunkSize = 32 << 10

// Pour sends begin over a connection and then repeats text until the peer closes it.
func Pour(con net.Conn, begin, text string) {
	_, err := io.WriteString(con, begin)
	for chunk := bytes.Repeat([]byte(text), 1+chunkSize/len(text)); err == nil; {
		_, err = con.Write(chunk)
	}
}

// Handler returns a handler that answers each request by Pour, in place of HTTP.
func Handler(begin, text string) http.HandlerFunc {
	return func(rsw http.ResponseWriter, _ *http.Request) {
		con, _, err := http.NewResponseController(rsw).Hijack()
		if err != nil {
			return
		}
		defer con.Close()
		Pour(con, begin, text)
	}
}
