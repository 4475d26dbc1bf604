package limit

// Flow is one customer's place in a Fair order. Its zero value is a flow that
// has not been served.
type Flow struct {
	// finish is the virtual time at which the work charged so far ends.
	finish float64
	weight float64
	active bool
}

// Fair is start-time fair queueing among the customers of one tier: virtual
// time advances with served work over the weights of the active flows, and a
// flow is ahead of its share while its start tag lies beyond virtual time.
type Fair struct {
	virtual float64
	weights float64
}

// Activate is called when a flow gets work to wait for. Idle time earns no
// credit.
func (f *Fair) Activate(w *Flow, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	if w.active {
		f.weights -= w.weight
	}
	w.weight, w.active = weight, true
	f.weights += weight
	w.finish = max(w.finish, f.virtual)
}

// Deactivate is called when a flow has no waiting work left.
func (f *Fair) Deactivate(w *Flow) {
	if !w.active {
		return
	}
	w.active = false
	f.weights -= w.weight
	if f.weights < 1e-9 {
		f.weights = 0
	}
}

// Charge accounts for work of an active flow that starts now.
func (f *Fair) Charge(w *Flow, cost float64) {
	w.finish = max(w.finish, f.virtual) + cost/w.weight
	if f.weights > 0 {
		f.virtual += cost / f.weights
	}
}

// Correct replaces an estimated cost by the real one when the work has ended.
func (f *Fair) Correct(w *Flow, estimated, actual float64) {
	weight := w.weight
	if weight <= 0 {
		weight = 1
	}
	w.finish += (actual - estimated) / weight
}

// Ahead reports whether the flow has had more than its share, beyond slack.
func (f *Fair) Ahead(w *Flow, slack float64) bool { return w.finish > f.virtual+slack }

// Virtual returns the virtual time.
func (f *Fair) Virtual() float64 { return f.virtual }

// Share returns the part of the service that the flow gets while all active
// flows have work.
func (f *Fair) Share(w *Flow) float64 {
	if !w.active || f.weights <= 0 {
		return 1
	}
	return w.weight / f.weights
}

// ShareIf returns the share that a flow of the given weight gets, counting it
// as active.
func (f *Fair) ShareIf(w *Flow, weight float64) float64 {
	if w.active {
		return f.Share(w)
	}
	if weight <= 0 {
		weight = 1
	}
	return weight / (f.weights + weight)
}

// Tag returns the virtual time at which the work charged to the flow ends. It
// orders flows that are ahead of their share.
func (f *Fair) Tag(w *Flow) float64 { return w.finish }
