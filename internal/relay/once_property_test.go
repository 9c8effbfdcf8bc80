package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cumintally/cumintally/internal/placement"
	"github.com/cumintally/cumintally/internal/relay"
	"github.com/cumintally/cumintally/internal/route"
	"github.com/cumintally/cumintally/internal/serverregistry"
)

const (
	// onceTimeout is the timeout of requests that must not run twice, and latePause is longer.
	onceTimeout = 40 * time.Millisecond
	latePause   = 60 * time.Millisecond
	// strayPause is the time after which bytes follow a response that was complete.
	strayPause = time.Millisecond
)

// exchange is one request at an odd server.
type exchange struct {
	con *net.TCPConn
	id  string
	// run counts a run of the request.
	run func()
}

func (exc exchange) send(text string) {
	_, _ = io.WriteString(exc.con, text)
}

// sendAll sends texts one after another, with strayPause between them.
func (exc exchange) sendAll(texts ...string) {
	for num, text := range texts {
		if num > 0 {
			time.Sleep(strayPause)
		}
		exc.send(text)
	}
}

// reset makes the end of the connection a reset.
func (exc exchange) reset() {
	_ = exc.con.SetLinger(0)
}

// nameless begins the IDs of requests that backend servers are not told.
const nameless = "nameless"

// message returns a whole response; one without ID, or to a nameless request, does not name its request.
func message(status, id, extra, body string) string {
	if id != "" && !strings.HasPrefix(id, nameless) {
		extra += "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
}

func answerTo(id string) string {
	return message("200 OK", id, "", "answer "+id)
}

// refusalOf returns a statement that a request was not run.
func refusalOf(id string) string {
	return message("503 Service Unavailable", id, "Not-Run: 1\r\n", "")
}

// oddBehaviours are what backend servers do with a request; each reports whether the connection stays open.
var oddBehaviours = map[string]func(exc exchange) bool{
	"answer":           func(exc exchange) bool { exc.run(); exc.send(answerTo(exc.id)); return true },
	"answer and close": func(exc exchange) bool { exc.run(); exc.send(answerTo(exc.id)); return false },
	"answer after an interim one": func(exc exchange) bool {
		exc.run()
		exc.send("HTTP/1.1 103 Early Hints\r\n\r\n" + answerTo(exc.id))
		return true
	},
	"answer late": func(exc exchange) bool {
		exc.run()
		time.Sleep(latePause)
		exc.send(answerTo(exc.id))
		return true
	},
	"run late": func(exc exchange) bool {
		time.Sleep(latePause)
		exc.run()
		exc.send(answerTo(exc.id))
		return true
	},
	"answer twice":           func(exc exchange) bool { exc.run(); exc.sendAll(answerTo(exc.id), answerTo(exc.id)); return true },
	"answer, then a refusal": func(exc exchange) bool { exc.run(); exc.sendAll(answerTo(exc.id), refusalOf("")); return true },
	"stray answer first":     func(exc exchange) bool { exc.run(); exc.send(answerTo("another") + answerTo(exc.id)); return true },
	"stray refusal first":    func(exc exchange) bool { exc.run(); exc.send(refusalOf("another") + answerTo(exc.id)); return true },
	"refuse":                 func(exc exchange) bool { exc.send(refusalOf(exc.id)); return true },
	"refuse without ID":      func(exc exchange) bool { exc.send(refusalOf("")); return true },
	"refuse twice":           func(exc exchange) bool { exc.sendAll(refusalOf(exc.id), refusalOf(exc.id)); return true },
	"refuse twice without ID": func(exc exchange) bool {
		exc.sendAll(refusalOf(""), refusalOf(""))
		return true
	},
	"refuse and close": func(exc exchange) bool { exc.send(refusalOf(exc.id)); return false },
	"refuse and reset": func(exc exchange) bool { exc.sendAll(refusalOf(exc.id), ""); exc.reset(); return false },
	"misdirected twice": func(exc exchange) bool {
		exc.sendAll(message("421 Misdirected Request", exc.id, "", ""), message("421 Misdirected Request", exc.id, "", ""))
		return true
	},
	"misdirected":              func(exc exchange) bool { exc.send(message("421 Misdirected Request", exc.id, "", "")); return true },
	"close":                    func(exchange) bool { return false },
	"reset":                    func(exc exchange) bool { exc.reset(); return false },
	"run and close":            func(exc exchange) bool { exc.run(); return false },
	"run and reset":            func(exc exchange) bool { exc.run(); exc.reset(); return false },
	"run and stop in the head": func(exc exchange) bool { exc.run(); exc.send(refusalOf(exc.id)[:50]); return false },
	"run and stop in the body": func(exc exchange) bool {
		exc.run()
		exc.send(strings.TrimSuffix(answerTo(exc.id), exc.id))
		return false
	},
	"run and answer 503": func(exc exchange) bool {
		exc.run()
		exc.send(message("503 Service Unavailable", exc.id, "", ""))
		return true
	},
	"run and answer 429": func(exc exchange) bool {
		exc.run()
		exc.send(message("429 Too Many Requests", exc.id, "", ""))
		return true
	},
	"run and answer 408": func(exc exchange) bool {
		exc.run()
		exc.send(message("408 Request Timeout", exc.id, "", ""))
		return true
	},
}

// oddSite is a set of backend servers whose behaviours are drawn, and the runs of each request there.
type oddSite struct {
	servers []*serverregistry.Server
	script  []string

	mu      sync.Mutex
	handled int
	runs    map[string]int
}

// serve handles the requests on a connection.
func (sit *oddSite) serve(con *net.TCPConn) {
	defer con.Close()
	rdr := bufio.NewReader(con)
	for {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Id")
		exc := exchange{
			con: con,
			id:  id,
			run: func() {
				sit.mu.Lock()
				defer sit.mu.Unlock()
				sit.runs[id]++
			},
		}
		if !oddBehaviours[sit.next()](exc) {
			return
		}
	}
}

// next returns the behaviour towards the next request.
func (sit *oddSite) next() string {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	sit.handled++
	return sit.script[sit.handled%len(sit.script)]
}

// start starts backend servers. The returned function stops them.
func (sit *oddSite) start(rpt *rapid.T, num int) func() {
	var listeners []net.Listener
	for range num {
		lst, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			rpt.Fatal(err)
		}
		listeners = append(listeners, lst)
		sit.register("server-"+strconv.Itoa(len(sit.servers)), lst)
		if rapid.Bool().Draw(rpt, "restarted") {
			// For some time the registrations of its former process and of its present one have the same address.
			sit.register("restarted-"+strconv.Itoa(len(sit.servers)), lst)
		}
		go func() {
			for {
				con, err := lst.Accept()
				if err != nil {
					return
				}
				go sit.serve(con.(*net.TCPConn))
			}
		}()
	}
	return func() {
		for _, lst := range listeners {
			lst.Close()
		}
	}
}

func (sit *oddSite) register(id string, lst net.Listener) {
	sit.servers = append(sit.servers, &serverregistry.Server{
		ID:      id,
		Address: lst.Addr().String(),
	})
}

// choose picks the first server that the request has not to avoid.
func (sit *oddSite) choose(req placement.Request) (placement.Pick, error) {
	for _, srv := range sit.servers {
		if !slices.Contains(req.Avoid, srv.ID) {
			return placement.Pick{
				Server:        srv,
				ResponseBegan: func() {},
				Release:       func() {},
			}, nil
		}
	}
	return placement.Pick{}, placement.ErrNoServer
}

// oddFormat reads the headers of odd servers.
var oddFormat = relay.HeaderFormat{
	ParseRequest: func(hdr http.Header) (relay.RequestHeaders, error) {
		id := hdr.Get("Id")
		if strings.HasPrefix(id, nameless) {
			id = ""
		}
		return relay.RequestHeaders{
			RequestID: id,
		}, nil
	},
	RewriteRequest: func(http.Header, relay.ForwardHeaders) {},
	ParseResponse: func(res *http.Response) relay.ResponseHeaders {
		return relay.ResponseHeaders{
			RequestID:   res.Header.Get("Id"),
			NotRun:      res.Header.Get("Not-Run") != "",
			Misdirected: res.StatusCode == http.StatusMisdirectedRequest,
			Sealed:      true,
		}
	},
}

// Guards against a request that must not run twice and does, one that ran and is reported as not run, and an answer to another request
// (issue 45: TWICE, REFUSED), for any order of what backend servers may do on kept connections.
func TestRequestsRunAtMostOnceAtOddServers(tst *testing.T) {
	names := slices.Sorted(maps.Keys(oddBehaviours))
	rapid.Check(tst, func(rpt *rapid.T) {
		sit := &oddSite{
			// Sound answers in between keep connections open.
			script: rapid.SliceOfN(rapid.OneOf(rapid.Just("answer"), rapid.SampledFrom(names)), 1, 30).Draw(rpt, "behaviours"),
			runs:   map[string]int{},
		}
		defer sit.start(rpt, rapid.IntRange(1, 3).Draw(rpt, "servers"))()
		fix := &fixture{
			tst:         tst,
			kind:        route.NonIdempotent,
			timeout:     onceTimeout,
			attempts:    rapid.IntRange(1, 3).Draw(rpt, "attempts"),
			retriesLeft: rapid.IntRange(0, 10).Draw(rpt, "retries"),
			choose:      sit.choose,
			format:      &oddFormat,
		}
		handler := fix.handler()
		statuses := map[string]int{}
		var mu sync.Mutex
		var callers sync.WaitGroup
		for caller := range rapid.IntRange(1, 3).Draw(rpt, "callers") {
			prefix := rapid.SampledFrom([]string{"request", nameless}).Draw(rpt, "prefix")
			callers.Go(func() {
				for num := range 8 {
					id := fmt.Sprintf("%s-%d-%d", prefix, caller, num)
					req := httptest.NewRequest(http.MethodPost, "http://shop/status", strings.NewReader("body"))
					req.Header.Set("Id", id)
					rsp := httptest.NewRecorder()
					handler.ServeHTTP(rsp, req)
					mu.Lock()
					statuses[id] = rsp.Code
					mu.Unlock()
					if rsp.Code == http.StatusOK && rsp.Body.String() != "answer "+id {
						rpt.Errorf("%s got %q", id, rsp.Body)
					}
				}
			})
		}
		callers.Wait()
		// A request that was given up may still run.
		time.Sleep(latePause)
		sit.mu.Lock()
		defer sit.mu.Unlock()
		for id, status := range statuses {
			runs := sit.runs[id]
			refused := slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
			if runs > 1 || refused && runs > 0 || status == http.StatusOK && runs == 0 {
				rpt.Errorf("%s ran %d times and was answered with status %d", id, runs, status)
			}
		}
	})
}
