package upstream

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// FuzzQuick guards against a chunk that chunkDecoder decodes differently than encoding/json.
func FuzzQuick(f *testing.F) {
	for _, seed := range []string{
		`{"id":"r","object":"chat.completion.chunk","created":1,"model":"m","auburnstep_offset":0,"choices":[{"index":0,"delta":{"role":"assistant","content":"a "},"finish_reason":null}]}`,
		`{"id":"r","auburnstep_offset":7,"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"total_tokens":4}}`,
		`{ "id" : "r\u00e9" , "auburnstep_offset" : 10 , "choices" : [ { "delta" : { "content" : "\"\\ \n 石" } } ] }`,
		`{"ID":"r","id":null,"auburnstep_offset":01,"choices":[]}`,
		`{"id":"a","id":"b","choices":[{"delta":{"content":"x"}}],"choices":[{"delta":{}}]}`,
		`{"choices":[{"delta":{"content":"x"},"delta":{"content":null},"finish_reason":"a","finish_reason":null},{"delta":{}}]}`,
		`{"id":"` + "\xff" + `"}`, `{"model":"\x"}`, `{"id":"r"} x`, `{"created":1.5,"auburnstep_offset":-1}`, `{}`, `[]`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var decoded, reference wireChunk
		if !(&chunkDecoder{data: data}).decode(&decoded) {
			return
		}
		c := qt.New(t)
		c.Assert(reference.parseJSON(data), qt.IsNil)
		encode := func(w wireChunk) string {
			w.inlineChoice = [1]wireChoice{}
			if len(w.Choices) == 0 {
				w.Choices = nil
			}
			out, err := json.Marshal(w)
			c.Assert(err, qt.IsNil)
			return string(out)
		}
		c.Check(encode(decoded), qt.Equals, encode(reference))
	})
}

// TestChunkDecoderAcceptsUsualChunks guards against usual chunks that need the slow path
// through encoding/json for each token.
func TestChunkDecoderAcceptsUsualChunks(t *testing.T) {
	for _, data := range []string{
		`{"id":"r","object":"chat.completion.chunk","created":1,"model":"m","auburnstep_offset":0,"choices":[{"index":0,"delta":{"content":"a "},"finish_reason":null}]}`,
		`{"id":"r","auburnstep_offset":12,"choices":[{"index":0,"delta":{"content":"a\n石"},"logprobs":null,"finish_reason":null}]}`,
	} {
		var w wireChunk
		qt.New(t).Check((&chunkDecoder{data: []byte(data)}).decode(&w), qt.IsTrue, qt.Commentf(data))
	}
}
