package fakeengine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"auburnstep.example/auburnstep/internal/answers"
	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/openai"
)

// maxChatBody is the maximum size of the body of a chat request in bytes.
const maxChatBody = 16 << 20

// chatJob is one chat request with the data needed to write its response and the
// faults that apply to it.
type chatJob struct {
	*sequence
	model        string
	promptTokens int
	crossed      bool
	truncated    bool
	deadly       bool
	// deadlyHead is Fault.Head of the fault that made the job deadly.
	deadlyHead int
	reset      bool
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	s.countRequest()
	var req answers.ChatRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChatBody))
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil {
		s.reject(w, http.StatusBadRequest, "invalid_body", err.Error())
		return
	}
	if !s.orders.serves(req.Model) {
		s.reject(w, http.StatusNotFound, "model_not_found", "the model is not loaded here")
		return
	}
	if _, hit := s.faults.trigger(FaultOverload); hit {
		s.reject(w, http.StatusServiceUnavailable, "overloaded", "the engine is overloaded")
		return
	}
	job := s.newChatJob(r, req, body)
	if !s.batch.submit(job.sequence) {
		s.reject(w, http.StatusServiceUnavailable, "overloaded", "the waiting queue is full")
		return
	}
	defer s.batch.remove(job.sequence)
	defer job.cancel()
	if !s.applyLateFault(r.Context()) {
		s.cancelled.Add(1)
		return
	}
	w.Header().Set(endpointapi.HeaderRequestID, job.id)
	err = s.writeResponse(r.Context(), w, job, req.Stream)
	if err == nil {
		s.completed.Add(1)
		s.tokensCompleted.Add(int64(job.total - job.startOffset))
		return
	}
	s.cancelled.Add(1)
	if job.reset || err == errStopped {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) newChatJob(r *http.Request, req answers.ChatRequest, body []byte) *chatJob {
	id := r.Header.Get(endpointapi.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	prompt := answers.PromptOf(req.Messages)
	priority, _ := strconv.Atoi(r.Header.Get(endpointapi.HeaderPriority))
	offset, _ := strconv.Atoi(r.Header.Get(endpointapi.HeaderResumeOffset))
	total := answers.ResponseTokens(prompt, req.TokenLimit())
	offset = min(max(offset, 0), total)
	if offset > 0 {
		s.resumed.Add(1)
	}
	job := &chatJob{
		sequence:     newSequence(id, priority, answers.NewGenerator(prompt), offset, total),
		model:        req.Model,
		promptTokens: answers.CountTokens(prompt),
	}
	cached := 0
	// The fake endpoint accepts some bodies that openai.ParseChat does not. They
	// have no cached prefix.
	if parsed, err := openai.ParseChat(body); err == nil {
		cached = s.cache.matchAndStore(BlockHashes(parsed))
	}
	if rate := s.cfg.PrefillRate; rate > 0 {
		uncached := job.promptTokens + offset - cached
		job.prefillRemaining = time.Duration(float64(max(uncached, 0)) / rate * s.faults.slowdown() * float64(time.Second))
	}
	_, job.crossed = s.faults.trigger(FaultCrossed)
	_, job.truncated = s.faults.trigger(FaultTruncated)
	_, job.reset = s.faults.trigger(FaultReset)
	if f, ok := s.faults.trigger(FaultDeadly); ok {
		job.deadly, job.deadlyHead = strings.Contains(prompt, f.Text), f.Head
	}
	return job
}

// writeResponse writes the response to job: streamed as the tokens are
// generated, or at once after the last token.
func (s *Server) writeResponse(ctx context.Context, w http.ResponseWriter, job *chatJob, stream bool) error {
	if stream {
		return s.writeStream(ctx, w, job)
	}
	for sent := job.startOffset; sent < job.total; {
		n, err := s.awaitTokens(ctx, job, sent)
		if err != nil {
			return err
		}
		if job.deadly {
			return s.crashInBackground()
		}
		sent = n
	}
	id, generator := job.id, job.generator
	if job.crossed {
		o := s.batch.otherSequence(job.sequence)
		id, generator = o.id, o.generator
	}
	message := openai.Message{Role: "assistant", Content: generator.ResponseText(job.startOffset, job.total)}
	body, err := json.Marshal(Completion{Offset: job.startOffset, Completion: openai.Completion{
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

func (j *chatJob) usage() openai.Usage {
	return openai.Usage{PromptTokens: j.promptTokens, CompletionTokens: j.total, TotalTokens: j.promptTokens + j.total}
}

// awaitTokens waits until more than sent tokens are generated and returns their
// number.
func (s *Server) awaitTokens(ctx context.Context, job *chatJob, sent int) (int, error) {
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

// writeStream writes one chunk for each token, then the chunk with the finish
// reason and the [DONE] marker.
func (s *Server) writeStream(ctx context.Context, w http.ResponseWriter, job *chatJob) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	flusher := http.NewResponseController(w)
	faultOffset := job.startOffset + (job.total-job.startOffset)/2
	id, generator := job.id, job.generator
	created := time.Now().Unix()
	var buf []byte
	for sent := job.startOffset; sent < job.total; {
		n, err := s.awaitTokens(ctx, job, sent)
		if err != nil {
			return err
		}
		if job.deadly {
			if job.deadlyHead > 0 {
				writePartialHead(flusher, job.deadlyHead)
			} else {
				_ = flusher.Flush() // The engine crashes in any case.
			}
			return s.crashInBackground()
		}
		for ; sent < n; sent++ {
			if sent == faultOffset {
				if job.truncated || job.reset {
					_ = flusher.Flush()
					return truncationError(job)
				}
				if job.crossed {
					o := s.batch.otherSequence(job.sequence)
					id, generator = o.id, o.generator
				}
			}
			if job.isCancelled() {
				return context.Canceled
			}
			buf = appendChunk(buf[:0], id, job.model, created, sent, generator, sent == job.startOffset)
			if _, err := w.Write(buf); err != nil {
				return err
			}
			if err := flusher.Flush(); err != nil {
				return err
			}
		}
	}
	buf = appendFinalChunk(buf[:0], id, job.model, created, job)
	_, err := w.Write(buf)
	return err
}

// writePartialHead sends the first bytes of the head of a stream and closes the connection.
func writePartialHead(control *http.ResponseController, bytes int) {
	const head = "HTTP/1.1 200 OK\r\nCache-Control: no-store\r\nContent-Type: text/event-stream\r\n"
	c, _, err := control.Hijack()
	if err != nil {
		return // The engine crashes in any case.
	}
	_, _ = io.WriteString(c, head[:min(bytes, len(head))])
	_ = c.Close()
}

// truncationError returns the error that ends a stream halfway: errStopped to
// reset the connection, or context.Canceled to end the body cleanly. After a
// clean end, only the missing finish reason shows that the stream is truncated.
func truncationError(job *chatJob) error {
	if job.reset {
		return errStopped
	}
	return context.Canceled
}

func appendChunkHead(b []byte, id, model string, created int64, offset int) []byte {
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

func appendChunk(b []byte, id, model string, created int64, offset int, generator answers.Generator, firstToken bool) []byte {
	b = appendChunkHead(b, id, model, created, offset)
	b = append(b, `,"choices":[{"index":0,"delta":{`...)
	if firstToken {
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":"`...)
	b = generator.AppendToken(b, offset)
	return append(b, "\"},\"finish_reason\":null}]}\n\n"...)
}

func appendFinalChunk(b []byte, id, model string, created int64, job *chatJob) []byte {
	b = appendChunkHead(b, id, model, created, job.total)
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

// modelList is the response to GET /v1/models in the format of the OpenAI API.
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
