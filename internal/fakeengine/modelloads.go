package fakeengine

import (
	"slices"
	"sync"
	"time"
)

// LoadTracker counts the model loads of the fake endpoints that share it.
type LoadTracker struct {
	// ManualFinish makes each load last until FinishLoads is called, whatever its
	// load time.
	ManualFinish bool

	mu         sync.Mutex
	started    int
	running    int
	maxRunning int
	pending    []func()
}

// Started returns the number of loads started so far.
func (w *LoadTracker) Started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// MaxConcurrent returns the highest number of loads that ran at the same time.
func (w *LoadTracker) MaxConcurrent() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxRunning
}

// FinishLoads ends the loads of a LoadTracker with ManualFinish that are running
// now.
func (w *LoadTracker) FinishLoads() {
	w.mu.Lock()
	pending := w.pending
	w.pending = nil
	w.mu.Unlock()
	for _, end := range pending {
		end()
	}
}

// startLoad starts a load and calls end when it finishes, which is after d unless
// ManualFinish is set. A nil receiver counts nothing.
func (w *LoadTracker) startLoad(d time.Duration, end func()) {
	if w == nil {
		time.AfterFunc(d, end)
		return
	}
	finish := func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
		end()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	w.running++
	w.maxRunning = max(w.maxRunning, w.running)
	if w.ManualFinish {
		w.pending = append(w.pending, finish)
		return
	}
	time.AfterFunc(d, finish)
}

// loadModel starts to load a model, unless it is loaded or loading already. The
// caller holds o.mu.
func (o *orderExecutor) loadModel(model string) {
	if slices.Contains(o.state.Models, model) || slices.Contains(o.state.Loading, model) {
		return
	}
	if o.cfg.LoadTime <= 0 && o.cfg.ModelLoads == nil {
		o.state.Models = append(o.state.Models, model)
		return
	}
	o.state.Loading = append(o.state.Loading, model)
	o.cfg.ModelLoads.startLoad(o.cfg.LoadTime, func() {
		o.mu.Lock()
		if slices.Contains(o.state.Loading, model) {
			o.state.Loading = removeName(o.state.Loading, model)
			o.state.Models = addName(o.state.Models, model)
		}
		o.mu.Unlock()
		if o.onLoaded != nil {
			o.onLoaded()
		}
	})
}

func (o *orderExecutor) loading() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return nonNil(slices.Clone(o.state.Loading))
}
