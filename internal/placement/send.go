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
	orderPath = "/v1/orders"
	maxAnswer = 1 << 20
)

// orderBody is the body of POST /v1/orders.
type orderBody struct {
	Kind  string `json:"kind"`
	Model string `json:"model"`
}

// orderReply is the part of the answer that is used.
type orderReply struct {
	Models []string `json:"models"`
}

// result is what became of one order.
type result struct {
	task   *task
	status int
	reply  orderReply
	err    error
}

// send sends all orders that are due, at once, and waits for the answers.
func (x *Executor) send(ctx context.Context) {
	tasks := x.dueTasks()
	results := make([]result, len(tasks))
	var wg sync.WaitGroup
	for i, t := range tasks {
		lease, ok := x.o.Lease()
		if !ok || lease.Epoch != x.epoch {
			break
		}
		if t.id == "" {
			x.orders++
			t.id = fmt.Sprintf("order-%d-%d", x.epoch, x.orders)
		}
		if t.phase == loading {
			x.weights.sending(t.key())
		}
		call := x.call(t, lease)
		wg.Go(func() {
			results[i] = x.order(ctx, call)
			results[i].task = t
		})
	}
	wg.Wait()
	now := x.o.Now()
	for _, r := range results {
		if r.task != nil {
			how, why := x.settle(now, r)
			x.finish(now, r.task, how, why)
		}
	}
}

// call makes the order of a task. The lease is checked again directly before
// the first byte, so that a holder that was paused anywhere up to then sends
// nothing.
func (x *Executor) call(t *task, lease Lease) upstream.PlainCall {
	order := orderBody{Kind: "load_model", Model: t.model()}
	if t.phase == unloading {
		order.Kind = "unload_model"
	}
	body, _ := json.Marshal(order) // Cannot fail: the body has only strings.
	header := http.Header{"Content-Type": {"application/json"}, endpointapi.HeaderFencing: {strconv.FormatUint(lease.Epoch, 10)}}
	if t.endpoint.ChecksOrders && len(x.o.Tokens) > 0 {
		header.Set("Authorization", "Bearer "+x.o.Tokens[t.tokens%len(x.o.Tokens)])
	}
	x.metrics.sent.Inc(1)
	x.o.Events.Emit(eventOrdered, event.F("endpoint", t.order.Endpoint), event.F("order", order.Kind), event.F("model", order.Model),
		event.F("id", t.id), event.F("fencing_number", lease.Epoch), event.F("repeat", t.attempts))
	return upstream.PlainCall{
		Endpoint: t.endpoint.Address, RequestID: t.id, Method: http.MethodPost, Target: orderPath, Header: header,
		Body: bytes.NewReader(body), Length: int64(len(body)), MaxAnswer: maxAnswer,
		FirstByte: orderTimeout, BetweenBytes: orderTimeout, SendBefore: lease.Until,
	}
}

// order sends one order. It runs in a goroutine of its own.
func (x *Executor) order(ctx context.Context, call upstream.PlainCall) (r result) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := x.o.Client.Do(ctx, call)
	if err != nil {
		r.err = err
		return r
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		r.err = err
		return r
	}
	r.status = answer.Status
	if r.status == http.StatusOK {
		r.err = json.Unmarshal(body, &r.reply)
	}
	return r
}

// settle applies the answer to an order.
func (x *Executor) settle(now time.Time, r result) (ending, string) {
	t := r.task
	switch {
	case r.status == http.StatusOK && r.err == nil:
		return x.answered(now, t, r.reply)
	case r.status == http.StatusPreconditionFailed:
		x.superseded = true
		x.metrics.superseded.Inc(1)
		x.o.Events.Emit(eventSuperseded, event.F("endpoint", t.order.Endpoint), event.F("epoch", x.epoch))
		return x.notRun(t, cancelled, "a higher fencing number was seen")
	case r.status == http.StatusUnauthorized || r.status == http.StatusForbidden:
		if t.tokens++; t.tokens < len(x.o.Tokens) {
			return x.notRun(t, goesOn, "")
		}
		return x.notRun(t, failed, "the endpoint refused the order token")
	case r.status >= http.StatusBadRequest && r.status < http.StatusInternalServerError && r.status != http.StatusTooManyRequests:
		return x.notRun(t, failed, "the endpoint refused the order with status "+strconv.Itoa(r.status))
	case r.status == 0 && upstream.ReasonOf(r.err) == upstream.ReasonLate:
		return x.notRun(t, goesOn, "")
	case r.status == 0 && verdict.From(r.err).Verdict == verdict.NotRun:
		if t.attempts > 0 {
			return goesOn, "" // An earlier attempt may have run.
		}
		return x.notRun(t, failed, r.err.Error())
	}
	t.attempts++
	x.metrics.lost.Inc(1)
	x.o.Events.Emit(eventAnswerLost, event.F("endpoint", t.order.Endpoint), event.F("model", t.model()), event.F("id", t.id),
		event.F("status", r.status), event.F("error", r.err))
	return goesOn, ""
}

// notRun ends an attempt that proves that it did not run. Whether the load may
// have started is then up to earlier attempts.
func (x *Executor) notRun(t *task, how ending, why string) (ending, string) {
	if t.phase == loading && t.attempts == 0 {
		x.weights.unsent(t.key())
	}
	return how, why
}

// answered applies the answer of an engine that took the order.
func (x *Executor) answered(now time.Time, t *task, r orderReply) (ending, string) {
	if t.phase == unloading {
		if contains(r.Models, t.order.Unload) {
			t.attempts++ // Repeated in the next round.
			return goesOn, ""
		}
		x.unloaded(now, t)
		return goesOn, ""
	}
	t.accepted = now
	x.weights.confirmed(now, t.key())
	return goesOn, ""
}
