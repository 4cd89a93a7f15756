package soak

import (
	"strings"
	"sync"
	"time"
)

// length is how long faults are injected, with the pauses.
func (k *Soak) length() time.Duration {
	return k.Faults + time.Duration(len(drawPauses(k.Seed, k.Faults)))*_pause
}

// injectAll executes the events of a schedule, with pauses.
func (k *Soak) injectAll(s Schedule) {
	pauses := drawPauses(k.Seed, k.Faults)
	for i, p := range s.phases(pauses) {
		k.inject(p)
		if err := k.restore(); err != nil {
			k.violate("%v", err)
		}
		if i < len(pauses) {
			k.log("pause")
			time.Sleep(_pause)
		}
	}
}

// inject executes the events of a schedule. A target that is late keeps the intervals
// between its events.
func (k *Soak) inject(s Schedule) {
	begin := time.Now()
	var all sync.WaitGroup
	for _, l := range s {
		all.Go(func() {
			late := time.Duration(0)
			for _, e := range l {
				time.Sleep(time.Until(begin.Add(e.At + late)))
				late = max(late, time.Since(begin)-e.At)
				k.execute(e.Command)
			}
		})
	}
	all.Wait()
}

// execute executes a command of the schedule.
func (k *Soak) execute(command string) {
	k.log(command)
	f := append(strings.Fields(command), "")
	var err error
	e := k.entry(f[1])
	switch {
	case f[0] == "rotate":
		err = k.rotate()
	case f[0] == "split":
		err = k.split(f[1], strings.Split(f[2], ","), strings.Split(f[3], ","), f[4:7])
	case f[0] == "unsplit":
		err = k.unsplit()
	case e != nil:
		err = e.execute(f[0], f[2:len(f)-1]...)
	default:
		_, err = k.site.Do(command)
	}
	if err != nil {
		k.violate("%s: %v", command, err)
	}
}

// hosts are the names of all hosts.
func (k *Soak) hosts() []string {
	if k.Restarts {
		return allHosts()
	}
	return _hosts
}

// restore ends the faults that last beyond the schedule, and waits until all entries are
// ready.
func (k *Soak) restore() error {
	commands := []string{"up", "lose 0"}
	for _, e := range k.entries {
		commands = append(commands, "mend "+e.name)
	}
	if k.Splits {
		commands = append(commands, "unsplit")
	}
	for _, h := range k.hosts() {
		commands = append(commands, "light "+h, "late "+h+" 0")
	}
	for _, c := range commands {
		k.execute(c)
	}
	return k.awaitReady()
}
