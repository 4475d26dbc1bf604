package router

import (
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

// FuzzNativeHeaders guards against ids of callers that cannot be sent to other processes.
func FuzzNativeHeaders(f *testing.F) {
	f.Add("r1", "1460,80 5c:800", "12")
	f.Add("cafe-\xff", "1460,80 5c\xfe:800", "1\n")
	f.Fuzz(func(t *testing.T, id, prompt, lastEvent string) {
		call, err := NativeCodec{}.DecodeRequest(&http.Request{Header: http.Header{nativeRequestID: {id}, nativePrompt: {prompt}, nativeLastEvent: {lastEvent}}})
		if err != nil || call.CheckText() != nil {
			return
		}
		report := &directoryv1.CrashReport{Request: call.PrintableID()}
		for _, p := range call.Prompt.Parts {
			report.Parts = append(report.Parts, p.ID)
		}
		if _, err := proto.Marshal(report); err != nil {
			t.Fatalf("a report with the request %q cannot be encoded: %v", call.ID, err)
		}
	})
}
