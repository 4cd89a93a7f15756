package peer

import "sync"

const _maxCalls = 8192

// calls holds the calls of a connection that are waiting for a reply.
type calls struct {
	mu      sync.Mutex
	last    uint64
	pending map[uint64]chan Message
}

// add registers a call and returns its id and the channel for its reply. It
// returns ErrQueueFull where _maxCalls calls are pending.
func (c *calls) add() (uint64, <-chan Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= _maxCalls {
		return 0, nil, ErrQueueFull
	}
	if c.pending == nil {
		c.pending = make(map[uint64]chan Message)
	}
	c.last++
	reply := make(chan Message, 1)
	c.pending[c.last] = reply
	return c.last, reply, nil
}

// remove unregisters a call. A later reply to it is ignored.
func (c *calls) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// resolve delivers a reply to the pending call with that id, if there is one.
func (c *calls) resolve(id uint64, m Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply, ok := c.pending[id]; ok {
		delete(c.pending, id)
		reply <- m
	}
}
