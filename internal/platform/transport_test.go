package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

// A second copy of a response that the store sends late is not taken for the response to
// the next call: an object of another name or kind would be in force.
func TestLateSecondResponseIsNotUsed(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(answerTwice))
	defer server.Close()
	c := New(server.URL, Options{})
	for i := range 5 {
		id := config.ID{Kind: "zone", Name: fmt.Sprint("z", i)}
		o, err := c.Get(context.Background(), id)
		is.NoErr(err)
		is.Equal(o.Name, id.Name)
	}
}

// answerTwice answers with the object that is named in the path. When another request
// comes on the same connection, it first sends the last answer once more.
func answerTwice(w http.ResponseWriter, r *http.Request) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	var last string
	for err == nil {
		_, _ = io.WriteString(conn, last)
		body, _ := json.Marshal(config.Object{Kind: "zone", Name: r.URL.Path[len(objectsPath+"zone/"):], Revision: 1})
		last = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		_, _ = io.WriteString(conn, last)
		r, err = http.ReadRequest(buffered.Reader)
	}
}
