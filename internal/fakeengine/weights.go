package fakeengine

import (
	"slices"
	"sync"
	"time"
)

// WeightStore counts the loads of the stand-ins that share it.
type WeightStore struct {
	// Manual makes loads last until Finish is called, whatever their load time.
	Manual bool

	mu      sync.Mutex
	started int
	running int
	most    int
	pending []func()
}

// Started returns how many loads were begun.
func (w *WeightStore) Started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// Most returns the highest number of loads that ran at once.
func (w *WeightStore) Most() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}

// Finish ends the loads that run now.
func (w *WeightStore) Finish() {
	w.mu.Lock()
	pending := w.pending
	w.pending = nil
	w.mu.Unlock()
	for _, end := range pending {
		end()
	}
}

func (w *WeightStore) begin(d time.Duration, end func()) {
	if w == nil {
		time.AfterFunc(d, end)
		return
	}
	ended := func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
		end()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	w.running++
	w.most = max(w.most, w.running)
	if w.Manual {
		w.pending = append(w.pending, ended)
		return
	}
	time.AfterFunc(d, ended)
}

// load starts the load of a model, unless it is loaded or loading. The caller
// holds the mutex.
func (o *orderBook) load(model string) {
	if slices.Contains(o.state.Models, model) || slices.Contains(o.state.Loading, model) {
		return
	}
	if o.cfg.LoadTime <= 0 && o.cfg.Weights == nil {
		o.state.Models = append(o.state.Models, model)
		return
	}
	o.state.Loading = append(o.state.Loading, model)
	o.cfg.Weights.begin(o.cfg.LoadTime, func() {
		o.mu.Lock()
		if slices.Contains(o.state.Loading, model) {
			o.state.Loading = without(o.state.Loading, model)
			o.state.Models = with(o.state.Models, model)
		}
		o.mu.Unlock()
		if o.loaded != nil {
			o.loaded()
		}
	})
}

func (o *orderBook) loading() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return nonNil(slices.Clone(o.state.Loading))
}
