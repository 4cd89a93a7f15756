package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const _tick = 100 * time.Millisecond

// A process that was paused must not count the pause as silence of its peers,
// or it would disconnect all of them when it resumes.
func TestPauseIsNotSilence(t *testing.T) {
	now := time.Unix(100, 0)
	c := runClock{interval: _tick}
	var p heartbeatState
	p.recordFrame(now)
	for _, step := range []struct {
		gap     time.Duration
		silence time.Duration
	}{
		{0, 1 * _tick},
		{_tick, 2 * _tick},
		{time.Hour, 3 * _tick},
		{-time.Hour, 4 * _tick},
		{_tick / 2, 4*_tick + _tick/2},
	} {
		now = now.Add(step.gap)
		assert.Equal(t, p.addSilence(c.elapsed(now)), step.silence)
	}
	p.recordHeartbeat(now, now, new(Heartbeat))
	assert.Equal(t, p.addSilence(0), time.Duration(0))
}

func TestRoundTripExcludesTimeAtPeer(t *testing.T) {
	epoch := time.Unix(100, 0)
	var a, b heartbeatState
	sent, answered := new(Heartbeat), new(Heartbeat)
	a.stamp(epoch.Add(10*time.Millisecond), epoch, sent)
	assert.Equal(t, sent.GetEchoUs(), int64(0))
	b.recordHeartbeat(epoch.Add(time.Hour), epoch, sent)
	b.recordFrame(epoch.Add(time.Hour + 20*time.Millisecond))
	b.stamp(epoch.Add(time.Hour+50*time.Millisecond), epoch, answered)
	a.recordHeartbeat(epoch.Add(63*time.Millisecond), epoch, answered)
	var s Status
	a.fillStatus(&s)
	assert.Equal(t, s.RTT(), 3*time.Millisecond)
}
