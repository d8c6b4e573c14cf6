package direct

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
)

// maxReadAhead is what the connection's buffer may hold beyond a header, in bytes.
const maxReadAhead = readBufferBytes

// readBytes reads one response from a connection that delivers the bytes, and returns how many the header took at most.
func readBytes(data []byte) (resp *http.Response, taken int, err error) {
	in := bytes.NewReader(data)
	source := &headReader{Reader: in}
	c := &conn{source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
	resp, err = c.readHead(http.MethodGet)
	return resp, len(data) - in.Len(), err
}

var responseSeeds = [][]byte{
	[]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
	[]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nX-T: 1\r\n\r\n"),
	[]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"),
	bytes.Repeat([]byte("HTTP/1.1 100 Continue\r\n\r\n"), 20),
	append([]byte("HTTP/1.1 200 OK\r\nX: "), bytes.Repeat([]byte("x"), 80<<10)...),
}

func checkResponse(t *testing.T, data []byte) {
	resp, taken, err := readBytes(data)
	if taken > maxHeadBytes+maxReadAhead {
		t.Errorf("%d bytes were read for a header, want at most %d", taken, maxHeadBytes+maxReadAhead)
	}
	if err != nil {
		return
	}
	if resp.StatusCode < http.StatusOK {
		t.Errorf("the interim status %d was returned as final", resp.StatusCode)
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
		t.Errorf("a body of %d bytes was returned as complete, the header says %d", len(body), resp.ContentLength)
	}
	_ = resp.Body.Close() // it was read to its end or failed
}

// FuzzResponse looks for responses that are read without a bound or that look complete although they are not.
func FuzzResponse(f *testing.F) {
	for _, seed := range responseSeeds {
		f.Add(seed)
	}
	f.Fuzz(checkResponse)
}

// Guards, in each run of the tests, against what FuzzResponse looks for, with a bounded number of mutated responses.
func TestMutatedResponses(t *testing.T) {
	const runs = 3000
	random := rand.New(rand.NewPCG(1, 2))
	for range runs {
		data := bytes.Clone(responseSeeds[random.IntN(3)])
		for range 1 + random.IntN(8) {
			at := random.IntN(len(data))
			switch random.IntN(3) {
			case 0:
				data[at] = byte(random.IntN(256))
			case 1:
				data = append(data[:at], data[min(len(data), at+random.IntN(8)):]...)
			default:
				data = append(data, data[at:]...)
			}
			if len(data) == 0 {
				data = []byte{0}
			}
		}
		checkResponse(t, data)
	}
}
