package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/upstream"
	"auburnstep.example/auburnstep/internal/verdict"
)

const (
	orderPath        = "/v1/orders"
	maxResponseBytes = 1 << 20
)

// orderBody is the request body of POST /v1/orders.
type orderBody struct {
	Kind  string `json:"kind"`
	Model string `json:"model"`
}

// orderResponse contains the fields of the response body that are used here.
type orderResponse struct {
	Models []string `json:"models"`
}

// result is the result of one attempt to send an order.
type result struct {
	task     *task
	status   int
	response orderResponse
	err      error
}

// sendOrders sends all due orders concurrently and waits for their responses.
func (x *Executor) sendOrders(ctx context.Context) {
	tasks := x.dueTasks()
	results := make([]result, len(tasks))
	var wg sync.WaitGroup
	for i, t := range tasks {
		lease, ok := x.options.Lease()
		if !ok || lease.Epoch != x.epoch {
			break
		}
		if t.id == "" {
			x.orderSeq++
			t.id = fmt.Sprintf("order-%d-%d", x.epoch, x.orderSeq)
		}
		if t.phase == loading {
			x.limiter.markSending(t.key())
		}
		orderCall := x.orderCall(t, lease)
		wg.Go(func() {
			results[i] = x.sendOrder(ctx, orderCall)
			results[i].task = t
		})
	}
	wg.Wait()
	now := x.options.Now()
	for _, r := range results {
		if r.task != nil {
			o, reason := x.handleResult(now, r)
			x.finish(now, r.task, o, reason)
		}
	}
}

// orderCall builds the HTTP call for the order of a task. The call also carries
// the end of the lease, which the client checks directly before the first byte:
// a holder that is paused anywhere before that sends nothing after its lease
// has ended.
func (x *Executor) orderCall(t *task, lease Lease) upstream.PlainCall {
	order := orderBody{Kind: "load_model", Model: t.model()}
	if t.phase == unloading {
		order.Kind = "unload_model"
	}
	body, _ := json.Marshal(order) // Marshal cannot fail: the body has only strings.
	header := http.Header{"Content-Type": {"application/json"}, endpointapi.HeaderFencing: {strconv.FormatUint(lease.Epoch, 10)}}
	if t.endpoint.ChecksOrders && len(x.options.Tokens) > 0 {
		header.Set("Authorization", "Bearer "+x.options.Tokens[t.rejectedTokens%len(x.options.Tokens)])
	}
	x.metrics.sent.Inc(1)
	x.options.Events.Emit(eventOrdered, event.F("endpoint", t.order.Endpoint), event.F("order", order.Kind), event.F("model", order.Model),
		event.F("id", t.id), event.F("fencing_number", lease.Epoch), event.F("repeat", t.attempts))
	return upstream.PlainCall{
		Endpoint: t.endpoint.Address, RequestID: t.id, Method: http.MethodPost, Target: orderPath, Header: header,
		Body: bytes.NewReader(body), Length: int64(len(body)), MaxResponse: maxResponseBytes,
		MaxTimeToFirstByte: orderTimeout, MaxTimeBetweenBytes: orderTimeout, SendBefore: lease.Until,
	}
}

// sendOrder sends one order. It runs in its own goroutine and changes no state
// of the executor.
func (x *Executor) sendOrder(ctx context.Context, call upstream.PlainCall) (r result) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp, err := x.options.Client.Do(ctx, call)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return r
	}
	r.status = resp.Status
	if r.status == http.StatusOK {
		r.err = json.Unmarshal(body, &r.response)
	}
	return r
}

// handleResult applies the result of an attempt to its task.
func (x *Executor) handleResult(now time.Time, r result) (outcome, string) {
	t := r.task
	switch {
	case r.status == http.StatusOK && r.err == nil:
		return x.handleAccepted(now, t, r.response)
	case r.status == http.StatusPreconditionFailed:
		x.superseded = true
		x.metrics.superseded.Inc(1)
		x.options.Events.Emit(eventSuperseded, event.F("endpoint", t.order.Endpoint), event.F("epoch", x.epoch))
		return x.notRun(t, cancelled, "the endpoint has seen a higher fencing number")
	case r.status == http.StatusUnauthorized || r.status == http.StatusForbidden:
		if t.rejectedTokens++; t.rejectedTokens < len(x.options.Tokens) {
			return x.notRun(t, inProgress, "")
		}
		return x.notRun(t, failed, "the endpoint rejected all order tokens")
	case r.status >= http.StatusBadRequest && r.status < http.StatusInternalServerError && r.status != http.StatusTooManyRequests:
		return x.notRun(t, failed, "the endpoint rejected the order with status "+strconv.Itoa(r.status))
	case r.status == 0 && upstream.ReasonOf(r.err) == upstream.ReasonGrantExpired:
		return x.notRun(t, inProgress, "")
	case r.status == 0 && verdict.From(r.err).Verdict == verdict.NotRun:
		if t.attempts > 0 {
			return inProgress, "" // An earlier attempt may have reached the engine.
		}
		return x.notRun(t, failed, r.err.Error())
	}
	t.attempts++
	x.metrics.responsesLost.Inc(1)
	x.options.Events.Emit(eventResponseLost, event.F("endpoint", t.order.Endpoint), event.F("model", t.model()), event.F("id", t.id),
		event.F("status", r.status), event.F("error", r.err))
	return inProgress, ""
}

// notRun handles an attempt that provably had no effect at the engine. A load may
// then have started only through an earlier attempt.
func (x *Executor) notRun(t *task, o outcome, reason string) (outcome, string) {
	if t.phase == loading && t.attempts == 0 {
		x.limiter.markUnsent(t.key())
	}
	return o, reason
}

// handleAccepted applies the response of an engine that accepted the order.
func (x *Executor) handleAccepted(now time.Time, t *task, r orderResponse) (outcome, string) {
	if t.phase == unloading {
		if contains(r.Models, t.order.Unload) {
			t.attempts++ // The order is sent again in the next round.
			return inProgress, ""
		}
		x.unloaded(now, t)
		return inProgress, ""
	}
	t.acceptedAt = now
	x.limiter.confirmStart(now, t.key())
	return inProgress, ""
}
