package answers

// InvalidStatusLines are first lines that no HTTP/1 response to a request of this system may
// have, by a short name. 101 is among them since no request asks for another protocol.
var InvalidStatusLines = map[string]string{
	"status 000":                  "HTTP/1.1 000 X",
	"status 001":                  "HTTP/1.1 001 X",
	"status 099":                  "HTTP/1.1 099 X",
	"status 600":                  "HTTP/1.1 600 X",
	"status 999":                  "HTTP/1.1 999 X",
	"status 1000":                 "HTTP/1.1 1000 X",
	"status 2000":                 "HTTP/1.1 2000 OK",
	"status 20":                   "HTTP/1.1 20 OK",
	"negative status":             "HTTP/1.1 -200 OK",
	"negative status, 3 bytes":    "HTTP/1.1 -20 OK",
	"status with a plus":          "HTTP/1.1 +20 OK",
	"status with 4 bytes, plus":   "HTTP/1.1 +200 OK",
	"empty status":                "HTTP/1.1  OK",
	"no status":                   "HTTP/1.1",
	"no status, space":            "HTTP/1.1 ",
	"letters":                     "HTTP/1.1 abc OK",
	"digits and letters":          "HTTP/1.1 20x OK",
	"hexadecimal":                 "HTTP/1.1 0xc OK",
	"no space before the reason":  "HTTP/1.1 200OK",
	"two spaces":                  "HTTP/1.1  200 OK",
	"space in front":              " HTTP/1.1 200 OK",
	"empty line in front":         "\r\nHTTP/1.1 200 OK",
	"tab before the status":       "HTTP/1.1\t200 OK",
	"space and tab":               "HTTP/1.1 \t200 OK",
	"tab after the status":        "HTTP/1.1 200\tOK",
	"HTTP/2.0":                    "HTTP/2.0 200 OK",
	"HTTP/2":                      "HTTP/2 200 OK",
	"HTTP/3.0":                    "HTTP/3.0 200 OK",
	"HTTP/0.9":                    "HTTP/0.9 200 OK",
	"HTTP/11.1":                   "HTTP/11.1 200 OK",
	"protocol in small letters":   "http/1.1 200 OK",
	"another protocol":            "ICY 200 OK",
	"switch of the protocol, 101": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other",
}

// ValidStatusLines are first lines of a 200 that have to be understood: a reason is optional,
// and so is the space before it in practice.
var ValidStatusLines = map[string]string{
	"usual": "HTTP/1.1 200 OK", "no reason": "HTTP/1.1 200 ", "no reason, no space": "HTTP/1.1 200", "HTTP/1.0": "HTTP/1.0 200 OK",
	"other reason": "HTTP/1.1 200 \tall  is fine",
}

// InterimResponses are responses that may precede the final one.
var InterimResponses = map[string]string{
	"none": "", "100": "HTTP/1.1 100 Continue\r\n\r\n", "102": "HTTP/1.1 102 Processing\r\n\r\n",
	"103":             "HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n",
	"100 and 103":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n",
	"103, encoding":   "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
	"100, no reason":  "HTTP/1.1 100\r\n\r\n",
	"199, not in use": "HTTP/1.1 199 X\r\n\r\n",
}
