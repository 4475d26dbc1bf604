package fakeengine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"auburnstep.example/auburnstep/internal/answers"
	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/openai"
)

// maxChatBody bounds the body of a chat request.
const maxChatBody = 16 << 20

// run is one chat request with what its answer needs.
type run struct {
	*sequence
	model        string
	promptTokens int
	crossed      bool
	truncated    bool
	reset        bool
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	s.arrive()
	var req answers.ChatRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChatBody))
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil {
		s.refuse(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	if !s.orders.serves(req.Model) {
		s.refuse(w, http.StatusNotFound, "model_not_found", "the model is not loaded here")
		return
	}
	if _, hit := s.faults.draw(FaultOverload); hit {
		s.refuse(w, http.StatusServiceUnavailable, "overloaded", "the engine is overloaded")
		return
	}
	job := s.newRun(r, req, body)
	if !s.batch.submit(job.sequence) {
		s.refuse(w, http.StatusServiceUnavailable, "overloaded", "the waiting queue is full")
		return
	}
	defer s.batch.forget(job.sequence)
	defer job.cancel()
	if !s.delayLate(r.Context()) {
		s.cancelled.Add(1)
		return
	}
	w.Header().Set(endpointapi.HeaderRequestID, job.id)
	err = s.answer(r.Context(), w, job, req.Stream)
	if err == nil {
		s.completed.Add(1)
		s.tokensCompleted.Add(int64(job.total - job.from))
		return
	}
	s.cancelled.Add(1)
	if job.reset || err == errStopped {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) newRun(r *http.Request, req answers.ChatRequest, body []byte) *run {
	id := r.Header.Get(endpointapi.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	prompt := answers.PromptOf(req.Messages)
	priority, _ := strconv.Atoi(r.Header.Get(endpointapi.HeaderPriority))
	offset, _ := strconv.Atoi(r.Header.Get(endpointapi.HeaderResumeOffset))
	total := answers.Length(prompt, req.Limit())
	offset = min(max(offset, 0), total)
	if offset > 0 {
		s.resumed.Add(1)
	}
	job := &run{
		sequence:     newSequence(id, priority, answers.ScriptOf(prompt), offset, total),
		model:        req.Model,
		promptTokens: answers.CountTokens(prompt),
	}
	cached := 0
	// A body that only the stand-in accepts has no cached prefix.
	if parsed, err := openai.ParseChat(body); err == nil {
		cached = s.cache.touch(BlocksOf(parsed))
	}
	if rate := s.cfg.PrefillRate; rate > 0 {
		missing := job.promptTokens + offset - cached
		job.prefill = time.Duration(float64(max(missing, 0)) / rate * s.faults.slowdown() * float64(time.Second))
	}
	_, job.crossed = s.faults.draw(FaultCrossed)
	_, job.truncated = s.faults.draw(FaultTruncated)
	_, job.reset = s.faults.draw(FaultReset)
	return job
}

// answer writes the answer of job as it is produced.
func (s *Server) answer(ctx context.Context, w http.ResponseWriter, job *run, stream bool) error {
	if stream {
		return s.answerStream(ctx, w, job)
	}
	for sent := job.from; sent < job.total; {
		n, err := s.awaitTokens(ctx, job, sent)
		if err != nil {
			return err
		}
		sent = n
	}
	id, script := job.id, job.script
	if job.crossed {
		o := s.batch.other(job.sequence)
		id, script = o.id, o.script
	}
	message := openai.Message{Role: "assistant", Content: script.Answer(job.from, job.total)}
	body, err := json.Marshal(Completion{Offset: job.from, Completion: openai.Completion{
		ID: id, Object: "chat.completion", Created: time.Now().Unix(), Model: job.model, Usage: job.usage(),
		Choices: []openai.CompletionChoice{{Message: message, FinishReason: "stop"}},
	}})
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if job.truncated || job.reset {
		_, _ = w.Write(body[:len(body)/2])
		job.reset = true
		_ = http.NewResponseController(w).Flush()
		return errStopped
	}
	_, err = w.Write(body)
	return err
}

func (j *run) usage() openai.Usage {
	return openai.Usage{PromptTokens: j.promptTokens, CompletionTokens: j.total, TotalTokens: j.promptTokens + j.total}
}

// awaitTokens waits for tokens beyond sent and returns how many there are.
func (s *Server) awaitTokens(ctx context.Context, job *run, sent int) (int, error) {
	for {
		if n := int(job.produced.Load()); n > sent {
			if !s.faults.waitThawed(s.stop) {
				return 0, errStopped
			}
			return n, nil
		}
		select {
		case <-job.ready:
		case <-job.cancelled:
			return 0, context.Canceled
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-s.stop:
			return 0, errStopped
		}
	}
}

// answerStream writes one chunk for each token, the chunk with the finish
// reason and the end mark.
func (s *Server) answerStream(ctx context.Context, w http.ResponseWriter, job *run) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	flusher := http.NewResponseController(w)
	half := job.from + (job.total-job.from)/2
	id, script := job.id, job.script
	created := time.Now().Unix()
	var buf []byte
	for sent := job.from; sent < job.total; {
		n, err := s.awaitTokens(ctx, job, sent)
		if err != nil {
			return err
		}
		for ; sent < n; sent++ {
			if sent == half {
				if job.truncated || job.reset {
					_ = flusher.Flush()
					return errTruncated(job)
				}
				if job.crossed {
					o := s.batch.other(job.sequence)
					id, script = o.id, o.script
				}
			}
			if job.isCancelled() {
				return context.Canceled
			}
			buf = appendChunk(buf[:0], id, job.model, created, sent, script, sent == job.from)
			if _, err := w.Write(buf); err != nil {
				return err
			}
			if err := flusher.Flush(); err != nil {
				return err
			}
		}
	}
	buf = appendFinish(buf[:0], id, job.model, created, job)
	_, err := w.Write(buf)
	return err
}

// errTruncated ends a stream half way: with a reset of the connection, or with
// a clean end of the body, which only the missing finish reason gives away.
func errTruncated(job *run) error {
	if job.reset {
		return errStopped
	}
	return context.Canceled
}

func appendHead(b []byte, id, model string, created int64, offset int) []byte {
	b = append(b, `data: {"id":`...)
	b = strconv.AppendQuote(b, id)
	b = append(b, `,"object":"chat.completion.chunk","created":`...)
	b = strconv.AppendInt(b, created, 10)
	b = append(b, `,"model":`...)
	b = strconv.AppendQuote(b, model)
	b = append(b, `,"auburnstep_offset":`...)
	b = strconv.AppendInt(b, int64(offset), 10)
	return b
}

func appendChunk(b []byte, id, model string, created int64, offset int, script answers.Script, opening bool) []byte {
	b = appendHead(b, id, model, created, offset)
	b = append(b, `,"choices":[{"index":0,"delta":{`...)
	if opening {
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":"`...)
	b = script.AppendToken(b, offset)
	return append(b, "\"},\"finish_reason\":null}]}\n\n"...)
}

func appendFinish(b []byte, id, model string, created int64, job *run) []byte {
	b = appendHead(b, id, model, created, job.total)
	b = append(b, `,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":`...)
	usage, _ := json.Marshal(job.usage())
	b = append(b, usage...)
	return append(b, "}\n\ndata: [DONE]\n\n"...)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !s.batch.cancel(r.PathValue("id")) {
		writeError(w, http.StatusNotFound, "request_not_found", "no such request is running")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// modelList is the OpenAI list of models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range s.orders.models() {
		list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: "auburnstep"})
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	writeJSON(w, http.StatusOK, list)
}
