package saddleadmin_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/admin/saddleadmin"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func TestCountersAndTimelineRequireKey(t *testing.T) {
	is := is.New(t)
	keys, err := saddleadmin.ParseKeys(strings.NewReader("# operators\n" + hash("one") + "\n" + hash("two") + " # night shift\n"))
	is.NoErr(err)
	address, err := saddlestandin.FreeAddress()
	is.NoErr(err)
	notReady := func() error { return errors.New("no view") }
	s, cleanup, err := saddleadmin.New(address, keys, notReady, saddletimeline.NewRing("entry-1", 8))
	is.NoErr(err)
	defer func() { is.NoErr(cleanup()) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()

	tests := []struct {
		path, header string
		want         int
	}{
		{saddleadmin.PathTimeline, "", http.StatusUnauthorized},
		{saddleadmin.PathTimeline, "Bearer three", http.StatusUnauthorized},
		{saddleadmin.PathTimeline, "Bearer ", http.StatusUnauthorized},
		{saddleadmin.PathTimeline, "one", http.StatusUnauthorized},
		{saddleadmin.PathTimeline, "Bearer one", http.StatusOK},
		{saddleadmin.PathCounters, "", http.StatusUnauthorized},
		{saddleadmin.PathCounters, "Bearer two", http.StatusOK},
		{saddleadmin.PathLive, "", http.StatusOK},
		{saddleadmin.PathReady, "", http.StatusServiceUnavailable}, // load balancers have no key
	}
	for _, tt := range tests {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+tt.path, nil)
		is.NoErr(err)
		req.Header.Set("Authorization", tt.header)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, tt.want) // status of this path and header
	}
}

func TestKeyFileErrorNamesLineWithoutItsText(t *testing.T) {
	is := is.New(t)
	_, err := saddleadmin.ParseKeys(strings.NewReader("\nplain-key\n"))
	is.True(err != nil && strings.Contains(err.Error(), "line 2"))
	is.True(!strings.Contains(err.Error(), "plain-key")) // the line may contain a key in plain text
	_, err = saddleadmin.ParseKeys(strings.NewReader("# none\n"))
	is.True(err != nil) // a file without a hash would refuse every caller
	noKeys, err := saddleadmin.LoadKeys("")
	is.NoErr(err)
	is.True(noKeys.Allow("")) // without a key file every caller is allowed
}

func FuzzParseKeys(f *testing.F) {
	f.Add(hash("one"))
	f.Add("# x\n\x00")
	f.Fuzz(func(t *testing.T, text string) {
		keys, err := saddleadmin.ParseKeys(strings.NewReader(text))
		if err == nil && keys.Allow("Bearer "+text) {
			t.Fatal("a key hash was accepted as a key")
		}
	})
}
