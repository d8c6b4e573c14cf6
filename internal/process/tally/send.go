package tally

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Due returns the messages that are to be sent now. It is called at least every SendInterval. live are the other live edges with the runs
// of their processes.
//   - Counts that have changed go to all receivers.
//   - The final counts of a window go to all receivers three times.
//   - A new receiver, also one whose process has restarted, gets the counts of the recent windows: the own ones, and those of processes
//     that no longer live.
func (c *Counter) Due(now time.Time, live map[netip.Addr]uint64) []Send {
	current, trueTime := c.Window(now), c.opts.Clock.At(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastSend) < SendInterval {
		return nil
	}
	c.lastSend = now
	c.expire(current)
	receivers, added := c.updateReceivers(live)
	c.addWindows(current)
	if len(receivers) == 0 {
		return nil
	}
	sends := c.sendRecent(added, live, current, trueTime)
	for _, window := range c.ownWindows() {
		w, settled := c.own[window], c.hasSettled(window, trueTime)
		switch {
		case settled && w.finalSends < finalSends:
			w.finalSends++
			sends = append(sends, sendAll(receivers, c.wholeMessages(window, settled))...)
		case w.changed:
			sends = append(sends, sendAll(receivers, split(c.head(window), w.unsent()))...)
		default:
			continue
		}
		w.markSent()
	}
	return sends
}

// addWindows adds the own windows without counts. The window before the first one is final from the start, which tells the receivers since
// when this process counts.
func (c *Counter) addWindows(current uint64) {
	c.first = min(c.first, current) // the time was ahead when the process started
	for window := max(max(c.first, 1)-1, current-min(current, maxWindows)); window < current; window++ {
		c.ownWindow(window)
	}
}

// ownWindows returns the windows with own counts in their order.
func (c *Counter) ownWindows() []uint64 { return slices.Sorted(maps.Keys(c.own)) }

// hasSettled reports whether the own counts of the window are final.
func (c *Counter) hasSettled(window uint64, trueTime time.Time) bool {
	return c.endsAfter(window, trueTime) <= -c.settle
}

// head returns a message without counts.
func (c *Counter) head(window uint64) Message {
	return Message{Run: c.self.Run, Window: window, Age: uint32(max(window, c.first) - c.first)}
}

// wholeMessages returns all own counts of a window.
func (c *Counter) wholeMessages(window uint64, final bool) []Message {
	w, head := c.own[window], c.head(window)
	if final {
		head.Final = w.sum + 1
	}
	counts := make([]count, 0, len(w.counts))
	for workspace, n := range w.counts {
		counts = append(counts, count{workspace, n.number})
	}
	return split(head, counts)
}

// unsent returns the counts that are higher than what was sent.
func (w *ownWindow) unsent() []count {
	var counts []count
	for workspace, n := range w.counts {
		if n.number > n.sent {
			counts = append(counts, count{workspace, n.number})
		}
	}
	return counts
}

// markSent records that all counts were sent.
func (w *ownWindow) markSent() {
	if !w.changed {
		return
	}
	w.changed = false
	for workspace, n := range w.counts {
		n.sent = n.number
		w.counts[workspace] = n
	}
}

// Flush returns messages with all own counts of the recent windows, for the stop of the process. With last set no more requests are
// counted, so that the counts are final, and those of the next window too: the edge may still be taken for live in it.
func (c *Counter) Flush(now time.Time, live map[netip.Addr]uint64, last bool) []Send {
	current, trueTime := c.Window(now), c.opts.Clock.At(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	receivers := c.receiversAmong(live)
	if len(receivers) == 0 {
		return nil
	}
	if last {
		c.ownWindow(current)
		c.ownWindow(current + 1)
	}
	var sends []Send
	for _, window := range c.ownWindows() {
		if window+recentWindows > current {
			sends = append(sends, sendAll(receivers, c.wholeMessages(window, last || c.hasSettled(window, trueTime)))...)
			c.own[window].markSent()
		}
	}
	return sends
}

// receiversAmong returns the edges that get the counts: the holder of the duties and the first candidates.
func (c *Counter) receiversAmong(live map[netip.Addr]uint64) []netip.Addr {
	order := append(slices.Collect(maps.Keys(live)), c.opts.Edge)
	slices.SortFunc(order, netip.Addr.Compare)
	receivers := order[:min(len(order), candidates)]
	if c.holder.IsValid() && !slices.Contains(receivers, c.holder) {
		receivers = append(receivers, c.holder)
	}
	return slices.DeleteFunc(receivers, func(a netip.Addr) bool { return a == c.opts.Edge })
}

// updateReceivers returns the edges that get the counts, and those of them that were none before or have restarted since.
func (c *Counter) updateReceivers(live map[netip.Addr]uint64) (receivers, added []netip.Addr) {
	receivers = c.receiversAmong(live)
	runs := make(map[netip.Addr]uint64, len(receivers))
	for _, a := range receivers {
		before, known := c.receivers[a]
		run, isLive := live[a]
		if !isLive {
			run = before // the holder, which may have been heard of by others only
		}
		if runs[a] = run; !known || run != before {
			added = append(added, a)
		}
	}
	c.receivers = runs
	return receivers, added
}

// sendRecent returns messages with the recent counts for new receivers: the own ones, and those of processes that no longer live.
func (c *Counter) sendRecent(to []netip.Addr, live map[netip.Addr]uint64, current uint64, trueTime time.Time) []Send {
	if len(to) == 0 {
		return nil
	}
	var sends []Send
	for window := current - min(current, recentWindows-1); window <= current; window++ {
		if c.own[window] != nil {
			sends = append(sends, sendAll(to, c.wholeMessages(window, c.hasSettled(window, trueTime)))...)
		}
		for source, w := range c.others[window] {
			edge, err := netip.ParseAddr(source.Edge)
			if err != nil || live[edge] == source.Run || len(w.counts) == 0 {
				continue
			}
			head := Message{Edge: addrToUint32(edge), Run: source.Run, Window: window, Age: uint32(window - min(window, c.heard[source].first)), Final: w.final}
			counts := make([]count, 0, len(w.counts))
			for workspace, n := range w.counts {
				counts = append(counts, count{workspace, n})
			}
			sends = append(sends, sendAll(to, split(head, counts))...)
		}
	}
	return sends
}

func sendAll(to []netip.Addr, messages []Message) []Send {
	sends := make([]Send, 0, len(messages))
	for _, m := range messages {
		sends = append(sends, Send{to, m})
	}
	return sends
}
