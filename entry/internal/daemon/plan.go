package daemon

import (
	"time"

	"fescuelanding/entry/internal/view"
)

// plan runs the planner where this entry owns planning.
func (c *control) plan(time.Time, *view.View) {}
