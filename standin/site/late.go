package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// intercept aborts calls to an upstream that is down or whose host is off, and delays a
// start if that fault is set. It never answers a call itself.
func (u *Upstream) intercept(entry string, r *http.Request) bool {
	u.mu.Lock()
	down, crashed, late, began := u.down || u.report.ID == "", u.crashed, u.startDelay, u.began
	if u.strays {
		began = time.Time{}
	}
	if late > 0 && r.URL.Path == "/api/run-start" {
		u.startDelay, u.strays = 0, false
	} else {
		late = 0
	}
	u.mu.Unlock()
	if down {
		abort(crashed)
	}
	if late > 0 {
		q := r.Clone(r.Context())
		var b json.RawMessage
		if json.NewDecoder(r.Body).Decode(&b) == nil {
			u.site.faults.begin(lateFault(q))
			go u.startLate(entry, q, b, late, began)
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return false
}

// startLate executes the order to start a run after a delay, when the caller no longer
// waits for it, unless the incarnation that began at a time has ended. A zero time stands for any
// incarnation.
func (u *Upstream) startLate(entry string, r *http.Request, body []byte, after time.Duration, began time.Time) {
	defer u.site.faults.end(lateFault(r))
	time.Sleep(after)
	for u.isCrashed() {
		if !began.IsZero() {
			return
		}
		time.Sleep(_pollInterval)
	}
	var s struct {
		Task       string `json:"task"`
		Run        int64  `json:"run"`
		Spec       string `json:"spec"`
		DeadlineMs int64  `json:"deadlineMs"`
		Token      int64  `json:"fencingToken"`
		Checkpoint string `json:"checkpoint"`
	}
	if json.Unmarshal(body, &s) != nil || r.Header.Get("Expect-Instance") != u.id() || !began.IsZero() && !u.isIncarnation(began) {
		return
	}
	begin := time.Now()
	f := u.start(entry, platform.Start{Task: s.Task, Run: s.Run, Spec: s.Spec, DeadlineMs: s.DeadlineMs, Token: s.Token, Checkpoint: s.Checkpoint})
	u.site.recordLate(s.Task, begin)
	u.site.addEvent("late order of %s: %s", s.Task, refusal(f))
}

func (u *Upstream) isCrashed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashed
}

// lateFault returns the name of the fault of a start that is carried out late.
func lateFault(r *http.Request) string { return fmt.Sprintf("late start %p", r) }

func refusal(f serve.Refusal) string {
	if f.Status == 0 {
		return "carried out"
	}
	return "refused (" + f.Reason + ")"
}
