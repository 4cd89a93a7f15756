package peer

import "sync"

const _maxCalls = 8192

// calls holds the calls of a connection that wait for their reply.
type calls struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan Message
}

// add returns the number of a new call and the channel of its reply.
func (c *calls) add() (uint64, <-chan Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) >= _maxCalls {
		return 0, nil, ErrQueueFull
	}
	if c.waiting == nil {
		c.waiting = make(map[uint64]chan Message)
	}
	c.last++
	reply := make(chan Message, 1)
	c.waiting[c.last] = reply
	return c.last, reply, nil
}

// drop forgets a call; a reply that comes later is ignored.
func (c *calls) drop(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// resolve hands a reply to its call.
func (c *calls) resolve(id uint64, m Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply, ok := c.waiting[id]; ok {
		delete(c.waiting, id)
		reply <- m
	}
}
