package keys

const (
	_defaultAnswerBytes = 16 << 20
	_answerOverhead     = 128
)

// Outcome is how the run of a key ended.
type Outcome int

const (
	// Unknown means that the run may or may not have taken effect, or that it
	// hasn't ended, or that its outcome isn't remembered any more.
	Unknown Outcome = iota
	// Answered means that the upstream's whole answer came.
	Answered
	// Failed means that the upstream answered with a failure.
	Failed
	// NotRun means that this process started the key and then nothing was run
	// for it. Only this process may run it after all.
	NotRun
)

// answers keeps the outcomes and answers of finished keys, the oldest going
// first once there are too many bytes of them.
type answers struct {
	limit  int
	bytes  int
	serial uint64
	byKey  map[Key]answer
	order  []answerRef
}

type answer struct {
	serial  uint64
	outcome Outcome
	body    []byte
}

func (a answer) size() int {
	return len(a.body) + _answerOverhead
}

// answerRef names an answer that may have been taken out since.
type answerRef struct {
	key    Key
	serial uint64
}

func (a *answers) put(k Key, o Outcome, body []byte) {
	a.remove(k)
	v := answer{outcome: o, body: body}
	if v.size() > a.maxBytes() {
		v = answer{outcome: Unknown}
	}
	if a.byKey == nil {
		a.byKey = make(map[Key]answer)
	}
	a.serial++
	v.serial = a.serial
	a.byKey[k] = v
	a.order = append(a.order, answerRef{key: k, serial: v.serial})
	a.bytes += v.size()
	for a.bytes > a.maxBytes() || len(a.order) > a.maxBytes()/_answerOverhead {
		a.dropOldest()
	}
}

func (a *answers) remove(k Key) {
	if v, ok := a.byKey[k]; ok {
		a.bytes -= v.size()
		delete(a.byKey, k)
	}
}

func (a *answers) dropOldest() {
	r := a.order[0]
	a.order = a.order[1:]
	if a.byKey[r.key].serial == r.serial {
		a.remove(r.key)
	}
}

func (a *answers) maxBytes() int {
	if a.limit == 0 {
		return _defaultAnswerBytes
	}
	return a.limit
}

// Finish remembers how the run of a started key ended, with the answer for
// repeats. Outcomes and answers together are bounded in bytes; the oldest are
// forgotten first, and an answer larger than the bound is not kept.
func (j *Journal) Finish(k Key, o Outcome, body []byte) {
	j.answers.put(k, o, body)
}

// Outcome returns how the run of a key ended and its answer. It is Unknown
// where this process hasn't seen the end or has forgotten it.
func (j *Journal) Outcome(k Key) (Outcome, []byte) {
	a := j.answers.byKey[k]
	return a.outcome, a.body
}

// Reuse reports whether the key is this process's to run without a second
// batch, because its first start ended as NotRun. It says so once.
func (j *Journal) Reuse(k Key) bool {
	if !j.Reusable(k) {
		return false
	}
	j.answers.remove(k)
	return true
}

// Reusable reports whether Reuse would allow the key.
func (j *Journal) Reusable(k Key) bool {
	return j.answers.byKey[k].outcome == NotRun
}
