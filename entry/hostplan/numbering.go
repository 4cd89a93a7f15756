package hostplan

import "fescuelanding/platform"

// AppendNumbering numbers a planner's appends of its records, so that the store rejects
// those of previous planners. Appends are made one at a time.
type AppendNumbering struct{ epoch, sequence int64 }

// _epochsPerToken is how many epochs a planner may use under one fencing token.
const _epochsPerToken = 1 << 20

// NewAppendNumbering returns the numbering for the planner with a fencing token.
func NewAppendNumbering(token int64) AppendNumbering {
	return AppendNumbering{epoch: token * _epochsPerToken}
}

// Next returns the number of the next append.
func (n *AppendNumbering) Next() platform.Producer {
	return platform.Producer{Name: "hostplan", Epoch: n.epoch, Sequence: n.sequence}
}

// Answered processes the result of an append. It isn't called for an append without
// records that succeeded, as that one has set the epoch and used no number.
//
// An append that failed may still be carried out. The next one has other records, so it
// mustn't count as a repetition; its new epoch also has the store reject the one that
// failed if that arrives later.
func (n *AppendNumbering) Answered(err error) {
	if err != nil {
		n.epoch++
		n.sequence = 0
		return
	}
	n.sequence++
}
