package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/grants"
	"auburnstep.example/auburnstep/internal/openai"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/settings"
	"auburnstep.example/auburnstep/internal/upstream"
	"auburnstep.example/auburnstep/internal/verdict"
)

// handleChat serves POST /v1/chat/completions.
func (s *Server) handleChat(w http.ResponseWriter, r *http.Request, q *request) *verdict.Error {
	reserved, refusal := s.reserveRequest(chatTier(q, r.Header))
	if refusal != nil {
		return refusal
	}
	defer reserved.release()
	body, refusal := readReservedBody(w, r, largestBody(q.index, q.index.Services(), q.customer), reserved)
	if refusal != nil {
		return refusal
	}
	parsed, err := openai.ParseChat(body)
	if err != nil {
		return verdict.Refused(http.StatusBadRequest, "invalid_request", err.Error())
	}
	if refusal := s.resolveService(q, parsed.Model); refusal != nil {
		return refusal
	}
	if refusal := q.classify(r.Header); refusal != nil {
		return refusal
	}
	if int64(len(body)) > q.class.MaxBodyBytes {
		return requestTooLarge(q.class.MaxBodyBytes)
	}
	reserved.moveToTier(tierOf(q.class))
	streamed, err := upstream.StreamBody(body)
	if err != nil {
		return verdict.Refused(http.StatusBadRequest, "invalid_request", "the body is not a JSON object")
	}
	s.opts.Events.Emit(eventAccepted, q.fields(event.F("model", parsed.Model), event.F("bytes", len(body)))...)
	q.fingerprint = requestFingerprint(q.customer, r, body)
	c := &chatCall{s: s, q: q, reserved: reserved, body: streamed, schedRequest: chatSchedulerRequest(q, parsed)}
	q.delta.promptTokens = int(c.schedRequest.PromptTokens)
	ctx, cancel := q.withDeadline(r)
	defer cancel()
	if q.idempotencyKey != "" {
		return s.runAtMostOnce(ctx, w, q, bodyHash(r, body), c.runForBooking)
	}
	if parsed.Stream {
		c.sink = newStreamSink(w)
	} else {
		c.sink = c.bufferedSink(w, maxBufferedResponse)
	}
	return c.serve(ctx)
}

// resolveService sets the service of the request to the first one that serves the
// model.
func (s *Server) resolveService(q *request, model string) *verdict.Error {
	announced := s.announcedModels()
	anyServiceWithoutModels := false
	for _, service := range q.index.Services() {
		if !service.Engine {
			continue
		}
		models := modelsOf(service, announced)
		if slices.Contains(models, model) {
			q.service = service
			return nil
		}
		anyServiceWithoutModels = anyServiceWithoutModels || len(models) == 0
	}
	if anyServiceWithoutModels {
		// Endpoints may still be about to announce the model, for example when the
		// entry has just started.
		return verdict.Overloaded("model_unavailable", "no endpoint has announced the model "+quote(model)+" so far", time.Second)
	}
	return verdict.Refused(http.StatusNotFound, "model_not_found", "no service offers the model "+quote(model))
}

// modelsOf returns the models of a service: those in its settings or, if there are
// none, those that its endpoints have announced.
func modelsOf(service *settings.ServicePolicy, announced map[string][]string) []string {
	if len(service.Models) > 0 {
		return service.Models
	}
	return announced[service.Name]
}

// chatCall runs one chat request at engines and passes the response to its sink.
type chatCall struct {
	s *Server
	q *request
	// schedRequest is kept instead of the parsed request, whose copy of the prompt
	// would stay in memory until the response ends.
	schedRequest *schedulerv1.Request
	body         []byte
	reserved     *reservation
	sink         sink

	deliveredTokens int
	// timeToFirstToken counts from the arrival of the request.
	timeToFirstToken time.Duration
}

// answerStart is how long after its first token an answer counts as just begun.
const answerStart = 250 * time.Millisecond

// errCallerDisconnected reports that a write to the caller failed.
var errCallerDisconnected = errors.New("could not write the response to the caller")

// serve runs the call and delivers its response through the sink.
func (c *chatCall) serve(ctx context.Context) *verdict.Error {
	err := c.run(ctx)
	if err == nil {
		if c.sink.finish() != nil {
			c.s.recordDisconnect(c.q, verdict.Ran, c.deliveredTokens)
			return nil
		}
		c.s.recordCompleted(c.q, c.timeToFirstToken, c.deliveredTokens, event.F("tokens", c.deliveredTokens))
		return nil
	}
	if errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, errCallerDisconnected) {
		c.s.recordDisconnect(c.q, err.Verdict, c.deliveredTokens)
	} else {
		c.s.recordFailed(c.q, err, c.deliveredTokens)
	}
	if c.sink.headerSent() {
		c.sink.abort(err)
		return nil
	}
	return err
}

func (c *chatCall) run(ctx context.Context) *verdict.Error {
	return newRetrier(c.s, c.q, c.schedRequest).run(ctx, c.attempt)
}

// chatSchedulerRequest returns the description of a chat request for the scheduler.
func chatSchedulerRequest(q *request, r *openai.ChatRequest) *schedulerv1.Request {
	schedRequest := q.schedulerRequest()
	schedRequest.Model = r.Model
	schedRequest.PromptTokens = uint32(r.PromptTokens())
	schedRequest.MaxTokens = uint32(r.TokenLimit())
	schedRequest.Prefixes = r.Prefixes()
	return schedRequest
}

// bufferedSink returns a sink that buffers at most maxBytes.
func (c *chatCall) bufferedSink(w http.ResponseWriter, maxBytes int) *bufferedSink {
	return &bufferedSink{w: w, id: c.q.id, model: c.schedRequest.Model, promptTokens: int(c.schedRequest.PromptTokens), reserved: c.reserved, maxBytes: maxBytes}
}

// attempt streams the response from one engine, starting after the tokens that
// earlier attempts have delivered to the sink.
func (c *chatCall) attempt(ctx context.Context, id string, l *grants.Lease) attemptResult {
	start, before := time.Now(), c.deliveredTokens
	var attemptFirstToken time.Duration
	stream, err := c.s.opts.Upstream.Chat(ctx, upstream.Call{
		Endpoint: l.Grant.Address, RequestID: id, PublicID: "chatcmpl-" + c.q.id, Priority: int(l.Grant.Priority),
		Offset: c.deliveredTokens, Body: c.body, MaxTimeToFirstToken: c.q.service.FirstTokenTimeout,
		MaxTimeBetweenTokens: c.q.service.IdleTimeout, ReuseConnection: c.q.class.Idempotent, SendBefore: l.UseUntil(),
	})
	if err != nil {
		return attemptResult{err: err, begun: upstream.HasBegun(err)}
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return attemptResult{tokens: c.deliveredTokens - before, timeToFirstToken: attemptFirstToken}
		}
		if err != nil {
			return attemptResult{tokens: c.deliveredTokens - before, timeToFirstToken: attemptFirstToken, err: err,
				begun: true, advanced: attemptFirstToken != 0 && time.Since(start)-attemptFirstToken >= answerStart}
		}
		if chunk.Tokens > 0 && attemptFirstToken == 0 {
			attemptFirstToken = time.Since(start)
			if c.timeToFirstToken == 0 {
				c.timeToFirstToken = time.Since(c.q.start)
			}
		}
		c.deliveredTokens += chunk.Tokens
		if err := c.sink.chunk(chunk); err != nil {
			return attemptResult{tokens: c.deliveredTokens - before, timeToFirstToken: attemptFirstToken, err: err}
		}
	}
}

// handleModels serves GET /v1/models.
func (s *Server) handleModels(w http.ResponseWriter, _ *http.Request, q *request) *verdict.Error {
	announced := s.announcedModels()
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for _, service := range q.index.Services() {
		if !service.Engine {
			continue
		}
		for _, m := range modelsOf(service, announced) {
			list.Data = append(list.Data, openai.Model{ID: m, Object: "model", OwnedBy: service.Name})
		}
	}
	writeJSON(w, list)
	return nil
}

// runForBooking runs a chat request that must not repeat and returns its complete
// response as an outcome. The response is never streamed, because a duplicate must
// get all of it.
func (c *chatCall) runForBooking(ctx context.Context) (*controlv1.BookingOutcome, *verdict.Error) {
	buffered := c.bufferedSink(nil, maxStoredOutcome)
	c.sink = buffered
	err := c.run(ctx)
	c.q.delta.tokens = c.deliveredTokens
	if err != nil {
		return nil, err
	}
	return completionOutcome(buffered)
}

func completionOutcome(buffered *bufferedSink) (*controlv1.BookingOutcome, *verdict.Error) {
	body, err := json.Marshal(buffered.completion())
	if err != nil {
		return nil, verdict.From(err)
	}
	if len(body) > maxStoredOutcome {
		return nil, responseTooLarge(maxStoredOutcome)
	}
	return &controlv1.BookingOutcome{Status: http.StatusOK, ContentType: "application/json", Body: body}, nil
}
