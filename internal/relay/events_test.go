package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// FuzzEvents checks that splitting a stream into events neither loses nor duplicates nor reorders bytes.
func FuzzEvents(fzz *testing.F) {
	fzz.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	fzz.Add([]byte("id: 1\r\ndata: a\r\n\r\n"))
	fzz.Add([]byte("data"))
	fzz.Fuzz(func(tst *testing.T, data []byte) {
		rdr := bufio.NewReaderSize(bytes.NewReader(data), 16)
		var got []byte
		for {
			evt, err := readEvent(rdr)
			got = append(got, evt...)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				tst.Fatal(err)
			}
		}
		if !bytes.Equal(got, data) {
			tst.Fatalf("%q became %q", data, got)
		}
	})
}

func TestEventIDs(tst *testing.T) {
	id, ok := eventID([]byte("versions: 3\nid: 17\ndata: id: 4\n\n"))
	qt.Assert(tst, ok, qt.IsTrue)
	qt.Assert(tst, id, qt.Equals, "17")
	_, ok = eventID([]byte("data: x\n\n"))
	qt.Assert(tst, ok, qt.IsFalse)
	for _, tcs := range []struct {
		id, last string
		follows  bool
	}{
		{"2", "1", true},
		{"10", "9", true},
		{"1", "1", false},
		{"1", "2", false},
		{"b", "a", true},
	} {
		qt.Assert(tst, isAfter(tcs.id, tcs.last), qt.Equals, tcs.follows, qt.Commentf("%s after %s", tcs.id, tcs.last))
	}
}

// Guards against a stream without blank lines that exhausts the memory.
func TestEndlessEventIsAnError(tst *testing.T) {
	_, err := readEvent(bufio.NewReader(strings.NewReader(strings.Repeat("data: x\n", 200000))))
	qt.Assert(tst, err, qt.IsNotNil)
	qt.Assert(tst, errors.Is(err, io.EOF), qt.IsFalse)
}
