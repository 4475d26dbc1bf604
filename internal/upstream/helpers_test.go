package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/answers"
	"auburnstep.example/auburnstep/internal/fakeengine"
	"auburnstep.example/auburnstep/internal/verdict"
)

// longTimeout is a timeout that does not expire during a test.
const longTimeout = 30 * time.Second

func startFake(c *qt.C, cfg fakeengine.Config) *fakeengine.Server {
	s, err := fakeengine.Start(cfg)
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Close)
	return s
}

func startClient(c *qt.C, o Options) *Client {
	client := New(o)
	c.Cleanup(client.Close)
	return client
}

func chatBody(prompt string, maxTokens int) []byte {
	content, _ := json.Marshal(prompt)
	body, _ := json.Marshal(answers.ChatRequest{
		Model: "m", Stream: true, MaxTokens: maxTokens,
		Messages: []answers.Message{{Role: "user", Content: content}},
	})
	return body
}

func callTo(s *fakeengine.Server, id, prompt string, maxTokens int) Call {
	return Call{
		Endpoint: s.Addr(), RequestID: id, Body: chatBody(prompt, maxTokens),
		MaxTimeToFirstToken: longTimeout, MaxTimeBetweenTokens: longTimeout, ReuseConnection: true,
	}
}

// collect reads a stream to its end. The error is nil only for a complete response.
func collect(s *Stream) (string, error) {
	defer s.Close()
	var text strings.Builder
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(chunk.Text)
	}
}

func chat(client *Client, call Call) (string, error) {
	s, err := client.Chat(context.Background(), call)
	if err != nil {
		return "", err
	}
	return collect(s)
}

// checkFailure checks the reason and the verdict of err, and whether the endpoint caused it.
func checkFailure(c *qt.C, err error, reason Reason, v verdict.Verdict, endpointFault bool) {
	c.Helper()
	c.Assert(err, qt.Not(qt.IsNil))
	c.Check(ReasonOf(err), qt.Equals, reason, qt.Commentf("%v", err))
	c.Check(verdict.From(err).Verdict, qt.Equals, v)
	c.Check(IsEndpointFault(err), qt.Equals, endpointFault)
}

// eventually waits until ok returns true. It fails the test if that takes too long.
func eventually(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for deadline := time.Now().Add(longTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	c.Fatalf("condition not met in time: %s", what)
}

func TestMain(m *testing.M) { verifyNoLeaks(m) }
