package main

import (
	"math/rand/v2"
	"time"
)

// load sends requests to the entry VMs at random times, perSecond on average, and returns at the
// end of that time. Requests go on after it.
func load(c *cluster, perSecond float64, length time.Duration, one func(v *vm)) {
	fronts := c.fronts()
	end := time.Now().Add(length)
	next := time.Now()
	for next.Before(end) {
		time.Sleep(time.Until(next))
		go one(fronts[rand.IntN(len(fronts))])
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
}
