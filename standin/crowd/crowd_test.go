package crowd_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/standin/crowd"
	"fescuelanding/standin/site"
)

const (
	// _settleLimit is how long a test waits for its crowd to have sent what it sends.
	_settleLimit = 30 * time.Second
	// An ordinary caller repeats its request up to _ordinaryLimit, and waits _callTimeout for
	// each answer.
	_ordinaryLimit = 20 * time.Second
	_callTimeout   = 3 * time.Second
	_repeatPause   = 100 * time.Millisecond
	// _readyTimeout limits the one health check of a crowded entry.
	_readyTimeout = 10 * time.Second
	_samplePause  = 20 * time.Millisecond
	_logBytes     = 8 << 10
	_queue        = "deposits"
	_firstJob     = "0a00000000000001"
)

// _entry is the path of the entry's program.
var _entry string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the entry and runs the tests. It panics if it can't: that is never taken for the
// failure of a test.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	_entry = filepath.Join(dir, "entry")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", _entry, "fescuelanding/entry").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build entry: %v\n%s", err, out))
	}
	return m.Run()
}

// Each test plays the script of its name in testdata.

func TestManyShortHeaderLines(t *testing.T)    { play(t, "manyShortHeaderLines") }
func TestOddHeaderLines(t *testing.T)          { play(t, "oddHeaderLines") }
func TestFinishedManyHeaderLines(t *testing.T) { play(t, "finishedManyHeaderLines") }
func TestBodyStopsShort(t *testing.T)          { play(t, "bodyStopsShort") }
func TestBodyPieceByPiece(t *testing.T)        { play(t, "bodyPieceByPiece") }
func TestOneLargeChunk(t *testing.T)           { play(t, "oneLargeChunk") }
func TestOneByteChunks(t *testing.T)           { play(t, "oneByteChunks") }
func TestSilentConnections(t *testing.T)       { play(t, "silentConnections") }
func TestWholeBodies(t *testing.T)             { play(t, "wholeBodies") }
func TestAnswersUnread(t *testing.T)           { play(t, "answersUnread") }
func TestSingleSlowBody(t *testing.T)          { play(t, "singleSlowBody") }
func TestSingleLargeHeader(t *testing.T)       { play(t, "singleLargeHeader") }

// TestBadScripts checks that a script that can't be read isn't played.
func TestBadScripts(t *testing.T) {
	const bounds = "\nmaxMemoryMb 96\nmaxDescriptors 600\n"
	_, err := crowd.ParseScript("callers silent\nconnections 900" + bounds)
	assert.NilError(t, err)
	for _, text := range []string{
		"callers silent\nconnections 901" + bounds, "callers silent" + bounds, "callers loud\nconnections 1" + bounds,
		"callers silent\nconnections 1", "callers silent\nconnections x" + bounds, "callers silent\nconnections 1\npieces 1" + bounds,
		"callers silent\nconnections 1\nstatuses 200 ok" + bounds, "callers silent\nconnections 1\nstand 3" + bounds,
	} {
		_, err := crowd.ParseScript(text)
		assert.ErrorIs(t, err, crowd.ErrScript, text)
	}
}

// play lets a crowd come, asks as an ordinary caller while it stands and after it has gone,
// and checks the bounds of the entry.
func play(t *testing.T, name string) {
	text, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
	assert.NilError(t, err)
	k, err := crowd.ParseScript(string(text))
	assert.NilError(t, err)
	s, names := start(t, k)

	first := ordinary{t: t, site: s, entry: names[0]}
	first.post(_firstJob)
	first.get(_firstJob)
	var watchers []*watcher
	for _, n := range names {
		watchers = append(watchers, watch(s, n))
	}
	q := s.Queue(_queue)
	c := crowd.New(k, crowd.Target{Address: s.Address(names[0]).String(), Host: q.Host, Prefix: q.Prefix, Job: _firstJob})
	c.Start()
	defer c.Stop()
	select {
	case <-c.Settled():
	case <-time.After(_settleLimit):
	}
	askAll(t, s, names, "0b")
	first.ready()
	time.Sleep(k.Stand)
	askAll(t, s, names, "0c")
	first.ready()
	if k.Answers > 0 {
		await(func() bool { return answered(c) >= k.Answers })
	}
	c.Stop()
	askAll(t, s, names, "0d")
	for _, w := range watchers {
		checkUsage(t, k, w.entry, w.end())
	}
	checkAnswers(t, k, c.Answers())
}

// askAll asks each entry for the first job, and submits another, whose ID begins with a prefix.
func askAll(t *testing.T, s *site.Site, names []string, prefix string) {
	for i, n := range names {
		o, id := ordinary{t: t, site: s, entry: n}, fmt.Sprintf("%s%014x", prefix, i)
		o.get(_firstJob)
		o.post(id)
		o.get(id)
	}
}

// start starts the entries of a script and returns their names.
func start(t *testing.T, k crowd.Script) (*site.Site, []string) {
	var log output
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the entries printed last:\n%s", log.tail())
		}
	})
	s := site.New(_entry, t.TempDir(), &log)
	assert.NilError(t, s.Start())
	t.Cleanup(s.Stop)
	s.SetBootLines(k.Boot...)
	var names []string
	for i := range k.Entries {
		names = append(names, fmt.Sprintf("e%d", i+1))
		assert.NilError(t, s.StartEntry(names[i]))
	}
	return s, names
}

// checkUsage compares what an entry used with the bounds of a script.
func checkUsage(t *testing.T, k crowd.Script, entry string, u usage) {
	t.Logf("measured: %s: at most %d kB of memory and %d descriptors; ended: %v", entry, u.memoryKB, u.descriptors, u.ended)
	assert.Check(t, !u.ended, "%s ended by itself", entry)
	assert.Check(t, u.memoryKB > 0 && u.descriptors > 0, "%s could not be measured", entry)
	assert.Check(t, u.memoryKB <= k.MaxMemoryMB<<10, "memory of %s: %d kB, bound %d kB", entry, u.memoryKB, k.MaxMemoryMB<<10)
	assert.Check(t, u.descriptors <= k.MaxDescriptors, "descriptors of %s: %d, bound %d", entry, u.descriptors, k.MaxDescriptors)
}

// checkAnswers compares what a crowd was answered with its script.
func checkAnswers(t *testing.T, k crowd.Script, a crowd.Answers) {
	t.Logf("crowd: %v", a)
	assert.Check(t, a.Careless() == 0, "%d answers 429 or 503 without Retry-After", a.Careless())
	total := 0
	for status, n := range a.Statuses() {
		total += n
		assert.Check(t, len(k.Statuses) == 0 || slices.Contains(k.Statuses, status), "%d answers of status %d", n, status)
	}
	assert.Check(t, k.Answers == 0 || total == k.Answers, "%d answers, expected %d", total, k.Answers)
}

// answered returns the number of answers that a crowd got.
func answered(c *crowd.Crowd) int {
	total := 0
	for _, n := range c.Answers().Statuses() {
		total += n
	}
	return total
}

// await waits until a condition holds, for at most _ordinaryLimit, and reports whether it does.
func await(holds func() bool) bool {
	for end := time.Now().Add(_ordinaryLimit); time.Now().Before(end); time.Sleep(_repeatPause) {
		if holds() {
			return true
		}
	}
	return false
}

// ordinary is an ordinary caller. It opens a connection for each request, and repeats what
// isn't answered with success.
type ordinary struct {
	t     *testing.T
	site  *site.Site
	entry string
}

func (o ordinary) get(id string)  { o.ask(http.MethodGet, id, nil) }
func (o ordinary) post(id string) { o.ask(http.MethodPost, id, crowd.JobBody("ordinary", 0)) }

func (o ordinary) ask(method, id string, body []byte) {
	last := ""
	ok := await(func() bool {
		var code int
		code, last = o.try(method, id, body)
		return code == http.StatusOK
	})
	assert.Check(o.t, ok, "%s of an ordinary caller at %s wasn't answered with success: %s", method, o.entry, last)
}

// try sends a request once. The status is zero if there is no answer.
func (o ordinary) try(method, id string, body []byte) (int, string) {
	q := o.site.Queue(_queue)
	r, err := http.NewRequest(method, "http://"+o.site.Address(o.entry).String()+q.Prefix+id, bytes.NewReader(body)) //nolint:noctx // The client has a time-out.
	assert.NilError(o.t, err)
	r.Host = q.Host
	c := http.Client{Timeout: _callTimeout}
	defer c.CloseIdleConnections()
	a, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, a.Status + " " + string(b)
}

// ready checks that the load balancer gets an answer.
func (o ordinary) ready() {
	c := http.Client{Timeout: _readyTimeout}
	defer c.CloseIdleConnections()
	a, err := c.Get("http://" + o.site.ReadyAddress(o.entry).String() + "/api/ready") //nolint:noctx // The client has a time-out.
	if assert.Check(o.t, err) {
		a.Body.Close()
	}
}

// usage is what a process used at most.
type usage struct {
	memoryKB, descriptors int
	// ended is set if the process ended.
	ended bool
}

// watcher samples the process of an entry.
type watcher struct {
	site  *site.Site
	entry string
	stop  chan struct{}
	done  chan struct{}
	seen  usage
}

func watch(s *site.Site, entry string) *watcher {
	w := &watcher{site: s, entry: entry, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			w.sample()
			select {
			case <-w.stop:
				w.sample()
				return
			case <-time.After(_samplePause):
			}
		}
	}()
	return w
}

// end stops the watcher and returns what it saw.
func (w *watcher) end() usage {
	close(w.stop)
	<-w.done
	select {
	case <-w.site.Exited(w.entry):
		w.seen.ended = true
	default:
	}
	return w.seen
}

func (w *watcher) sample() {
	dir := filepath.Join("/proc", strconv.Itoa(w.site.PID(w.entry)))
	if l, err := os.ReadDir(filepath.Join(dir, "fd")); err == nil {
		w.seen.descriptors = max(w.seen.descriptors, len(l))
	}
	text, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return // It has ended, which end reports.
	}
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) == 3 && f[0] == "VmHWM:" {
			n, _ := strconv.Atoi(f[1]) // The kernel writes a number.
			w.seen.memoryKB = max(w.seen.memoryKB, n)
		}
	}
}

// output collects the last output of several entries.
type output struct {
	mu sync.Mutex
	b  []byte
}

// Write implements io.Writer.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.b = append(o.b, b...)
	if len(o.b) > 2*_logBytes {
		o.b = slices.Clone(o.b[len(o.b)-_logBytes:])
	}
	return len(b), nil
}

// tail returns the last output.
func (o *output) tail() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.b[max(len(o.b)-_logBytes, 0):])
}
