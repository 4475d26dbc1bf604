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

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, q *request) *verdict.Error {
	held, refusal := s.enter(chatTier(q, r.Header))
	if refusal != nil {
		return refusal
	}
	defer held.leave()
	body, refusal := readBounded(w, r, largestBody(q.index, q.index.Services(), q.customer), held)
	if refusal != nil {
		return refusal
	}
	parsed, err := openai.ParseChat(body)
	if err != nil {
		return verdict.Refused(http.StatusBadRequest, "invalid_request", err.Error())
	}
	if refusal := s.route(q, parsed.Model); refusal != nil {
		return refusal
	}
	if refusal := q.classify(r.Header); refusal != nil {
		return refusal
	}
	if int64(len(body)) > q.class.BodyMax {
		return tooLarge(q.class.BodyMax)
	}
	held.settle(tierOf(q.class))
	streamed, err := upstream.StreamBody(body)
	if err != nil {
		return verdict.Refused(http.StatusBadRequest, "invalid_request", "the body is not a JSON object")
	}
	s.o.Events.Emit(eventAccepted, q.fields(event.F("model", parsed.Model), event.F("bytes", len(body)))...)
	c := &chatCall{s: s, q: q, held: held, body: streamed, demand: demandOf(q, parsed)}
	q.spent.prompt = int(c.demand.PromptTokens)
	ctx, cancel := q.context(r)
	defer cancel()
	if q.key != "" {
		return s.atMostOnce(ctx, w, q, bodyHash(r, body), c.recorded)
	}
	if parsed.Stream {
		c.sink = newStreamSink(w)
	} else {
		c.sink = c.wholeSink(w, maxWholeAnswer)
	}
	return c.serve(ctx)
}

// route finds the service that serves a model.
func (s *Server) route(q *request, model string) *verdict.Error {
	announced := s.announcedModels()
	unknown := false
	for _, service := range q.index.Services() {
		if !service.Engine {
			continue
		}
		models := modelsOf(service, announced)
		if slices.Contains(models, model) {
			q.service = service
			return nil
		}
		unknown = unknown || len(models) == 0
	}
	if unknown {
		// An entry that has just started has not heard of all endpoints yet.
		return verdict.Overloaded("model_unavailable", "no endpoint has announced the model "+quote(model)+" so far", time.Second)
	}
	return verdict.Refused(http.StatusNotFound, "model_not_found", "no service offers the model "+quote(model))
}

// modelsOf returns the models of a service: those of its settings, or else
// those that its endpoints announce.
func modelsOf(service *settings.ServicePolicy, announced map[string][]string) []string {
	if len(service.Models) > 0 {
		return service.Models
	}
	return announced[service.Name]
}

// chatCall is one chat request on its way to engines and back.
type chatCall struct {
	s *Server
	q *request
	// demand stands for the parsed request, whose copy of the prompt would
	// stay in memory for as long as the answer takes.
	demand *schedulerv1.Request
	body   []byte
	held   *room
	sink   sink

	delivered  int
	firstToken time.Duration
}

// errCallerGone is the failure of writing to the caller.
var errCallerGone = errors.New("the caller does not take the answer")

// serve runs the call and delivers its answer to the sink.
func (c *chatCall) serve(ctx context.Context) *verdict.Error {
	err := c.run(ctx)
	if err == nil {
		if c.sink.end() != nil {
			c.s.gone(c.q, verdict.Ran, c.delivered)
			return nil
		}
		c.s.finished(c.q, c.firstToken, c.delivered, event.F("tokens", c.delivered))
		return nil
	}
	if errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, errCallerGone) {
		c.s.gone(c.q, err.Verdict, c.delivered)
	} else {
		c.s.failed(c.q, err, c.delivered)
	}
	if c.sink.begun() {
		c.sink.fail(err)
		return nil
	}
	return err
}

func (c *chatCall) run(ctx context.Context) *verdict.Error {
	return newAttempts(c.s, c.q, c.demand).run(ctx, c.attempt)
}

// demandOf describes a chat request to the scheduler.
func demandOf(q *request, r *openai.ChatRequest) *schedulerv1.Request {
	d := q.demand()
	d.Model = r.Model
	d.PromptTokens = uint32(r.PromptTokens())
	d.MaxTokens = uint32(r.TokenLimit())
	d.Prefixes = r.Prefixes()
	return d
}

// wholeSink returns a sink that collects at most limit bytes.
func (c *chatCall) wholeSink(w http.ResponseWriter, limit int) *wholeSink {
	return &wholeSink{w: w, id: c.q.id, model: c.demand.Model, prompt: int(c.demand.PromptTokens), held: c.held, limit: limit}
}

// attempt streams from one engine, starting behind what the caller has.
func (c *chatCall) attempt(ctx context.Context, id string, l *grants.Lease) result {
	start, before := time.Now(), c.delivered
	var first time.Duration
	stream, err := c.s.o.Upstream.Chat(ctx, upstream.Call{
		Endpoint: l.Grant.Address, RequestID: id, PublicID: "chatcmpl-" + c.q.id, Priority: int(l.Grant.Priority),
		Offset: c.delivered, Body: c.body, FirstToken: c.q.service.FirstTokenTimeout,
		BetweenTokens: c.q.service.IdleTimeout, MayRepeat: c.q.class.Idempotent, SendBefore: l.UseUntil(),
	})
	if err != nil {
		return result{err: err}
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return result{tokens: c.delivered - before, firstToken: first}
		}
		if err != nil {
			return result{tokens: c.delivered - before, firstToken: first, err: err}
		}
		if chunk.Tokens > 0 && first == 0 {
			first = time.Since(start)
			if c.firstToken == 0 {
				c.firstToken = time.Since(c.q.start)
			}
		}
		c.delivered += chunk.Tokens
		if err := c.sink.chunk(chunk); err != nil {
			return result{tokens: c.delivered - before, firstToken: first, err: err}
		}
	}
}

// models serves GET /v1/models.
func (s *Server) models(w http.ResponseWriter, _ *http.Request, q *request) *verdict.Error {
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

// recorded runs a chat request that must not repeat and returns its whole
// answer as an outcome. Such an answer is never streamed, because a duplicate
// must be able to get all of it.
func (c *chatCall) recorded(ctx context.Context) (*controlv1.BookingOutcome, *verdict.Error) {
	whole := c.wholeSink(nil, maxStoredOutcome)
	c.sink = whole
	err := c.run(ctx)
	c.q.spent.tokens = c.delivered
	if err != nil {
		return nil, err
	}
	return wholeOutcome(whole)
}

func wholeOutcome(whole *wholeSink) (*controlv1.BookingOutcome, *verdict.Error) {
	body, err := json.Marshal(whole.completion())
	if err != nil {
		return nil, verdict.From(err)
	}
	if len(body) > maxStoredOutcome {
		return nil, answerTooLarge(maxStoredOutcome)
	}
	return &controlv1.BookingOutcome{Status: http.StatusOK, ContentType: "application/json", Body: body}, nil
}
