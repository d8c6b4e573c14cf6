package execute

import (
	"strconv"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// Item is a queued ask as the scheduler sees it.
type Item struct {
	ID     string
	Class  string
	Policy wire.Policy
}

// Scheduler decides which ask gets a free slot. The Executor calls it under its own lock.
type Scheduler interface {
	Enqueue(now time.Time, item Item)
	Remove(id string)
	Next(now time.Time) (id string, ok bool)
	OnTokens(id string, n int, now time.Time)
	OnDone(id string, now time.Time)
}

func jobID(entry string, ask *wire.Ask) string {
	return entry + "/" + ask.RequestID + "/" + strconv.FormatUint(uint64(ask.Attempt), 10)
}

func itemOf(j *job) Item { return Item{ID: j.id, Class: j.ask.Class, Policy: j.ask.Policy} }

// Fifo serves asks by tier and, within a tier, in order of arrival.
type Fifo struct{ items []Item }

// Enqueue implements Scheduler.
func (f *Fifo) Enqueue(_ time.Time, item Item) { f.items = append(f.items, item) }

// Remove implements Scheduler.
func (f *Fifo) Remove(id string) {
	for i := range f.items {
		if f.items[i].ID == id {
			f.items = append(f.items[:i], f.items[i+1:]...)
			return
		}
	}
}

// Next implements Scheduler.
func (f *Fifo) Next(time.Time) (string, bool) {
	best := -1
	for i := range f.items {
		if best < 0 || f.items[i].Policy.Priority < f.items[best].Policy.Priority {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	id := f.items[best].ID
	f.Remove(id)
	return id, true
}

// OnTokens implements Scheduler.
func (f *Fifo) OnTokens(string, int, time.Time) {}

// OnDone implements Scheduler.
func (f *Fifo) OnDone(string, time.Time) {}
