package limit

// Flow is the state of one customer in a FairQueueing. The zero value is a flow
// that has not been served.
type Flow struct {
	// finish is the virtual time at which the work charged so far ends.
	finish float64
	weight float64
	active bool
}

// FairQueueing implements start-time fair queueing among the customers of one
// tier. Virtual time advances by the cost of served work divided by the total
// weight of the active flows. A flow is ahead of its share while the start tag of
// its next work lies beyond virtual time.
type FairQueueing struct {
	virtualTime  float64
	activeWeight float64
}

// Activate must be called when a flow gets work that waits. A flow earns no
// credit for the time it was idle.
func (f *FairQueueing) Activate(flow *Flow, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	if flow.active {
		f.activeWeight -= flow.weight
	}
	flow.weight, flow.active = weight, true
	f.activeWeight += weight
	flow.finish = max(flow.finish, f.virtualTime)
}

// Deactivate must be called when a flow has no waiting work left.
func (f *FairQueueing) Deactivate(flow *Flow) {
	if !flow.active {
		return
	}
	flow.active = false
	f.activeWeight -= flow.weight
	if f.activeWeight < 1e-9 {
		f.activeWeight = 0
	}
}

// Charge accounts for work of an active flow that starts now.
func (f *FairQueueing) Charge(flow *Flow, cost float64) {
	flow.finish = max(flow.finish, f.virtualTime) + cost/flow.weight
	if f.activeWeight > 0 {
		f.virtualTime += cost / f.activeWeight
	}
}

// Correct replaces the estimated cost of work by its actual cost when the work
// has ended.
func (f *FairQueueing) Correct(flow *Flow, estimated, actual float64) {
	weight := flow.weight
	if weight <= 0 {
		weight = 1
	}
	flow.finish += (actual - estimated) / weight
}

// AheadOfShare reports whether the flow has had more than its share by more than
// slack, which is in units of virtual time.
func (f *FairQueueing) AheadOfShare(flow *Flow, slack float64) bool {
	return flow.finish > f.virtualTime+slack
}

// VirtualTime returns the current virtual time.
func (f *FairQueueing) VirtualTime() float64 { return f.virtualTime }

// Share returns the fraction of the service that the flow gets while all active
// flows have work.
func (f *FairQueueing) Share(flow *Flow) float64 {
	if !flow.active || f.activeWeight <= 0 {
		return 1
	}
	return flow.weight / f.activeWeight
}

// ShareIfActive returns the share of an active flow, or the share that an
// inactive flow would get if it became active with the given weight.
func (f *FairQueueing) ShareIfActive(flow *Flow, weight float64) float64 {
	if flow.active {
		return f.Share(flow)
	}
	if weight <= 0 {
		weight = 1
	}
	return weight / (f.activeWeight + weight)
}

// FinishTag returns the virtual time at which the work charged to the flow ends.
// Flows that are ahead of their share are served in the order of their finish
// tags.
func (f *FairQueueing) FinishTag(flow *Flow) float64 { return flow.finish }
