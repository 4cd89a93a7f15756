package keys

const (
	_defaultAnswerBytes = 16 << 20
	// _answerOverhead is the number of bytes counted for a stored outcome in
	// addition to its answer.
	_answerOverhead = 128
)

// Outcome is how the run of a key ended.
type Outcome int

const (
	// Unknown means that the run may or may not have taken effect: it hasn't
	// ended, its end isn't known, or its outcome is no longer stored.
	Unknown Outcome = iota
	// Answered means that the upstream's complete answer arrived.
	Answered
	// Failed means that the upstream answered with a failure.
	Failed
	// NotRun means that this process started the key and then ran nothing for
	// it. Only this process may still run it.
	NotRun
)

// answers stores the outcomes and answers of finished keys. When they exceed
// the limit in bytes, the oldest are evicted.
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

// answerRef refers to an answer that may have been removed since.
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

// Finish stores the outcome of a started key, with the answer for repeats.
// Outcomes and answers together are bounded in bytes; the oldest are evicted
// first. An answer larger than the bound isn't stored, and its outcome
// becomes Unknown.
func (j *Journal) Finish(k Key, o Outcome, body []byte) {
	j.answers.put(k, o, body)
}

// Outcome returns the outcome of a key and its answer. The outcome is Unknown
// if this process hasn't recorded one or has evicted it.
func (j *Journal) Outcome(k Key) (Outcome, []byte) {
	a := j.answers.byKey[k]
	return a.outcome, a.body
}

// Reuse reports whether this process may run the key without a second batch,
// because its first start ended as NotRun. It returns true once only.
func (j *Journal) Reuse(k Key) bool {
	if !j.Reusable(k) {
		return false
	}
	j.answers.remove(k)
	return true
}

// Reusable reports whether Reuse would return true.
func (j *Journal) Reusable(k Key) bool {
	return j.answers.byKey[k].outcome == NotRun
}
