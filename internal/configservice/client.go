// Package configservice is a read-only client of the platform's configuration service
// and host list. All calls, watches included, are charged to one read budget per node.
package configservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"boragefall/internal/config"
)

// RevisionHeader is the response header with the revision of a value.
const RevisionHeader = "Platform-Revision"

// URL paths of the platform's protocol.
const (
	pathList       = "/v1/list"
	pathWatch      = "/v1/watch"
	pathValue      = "/v1/value/"
	pathHosts      = "/v1/hosts"
	pathHostsWatch = "/v1/hosts/watch"
)

// maxResponseHeaderBytes bounds the headers of a response.
const maxResponseHeaderBytes = 64 << 10

// Client is a read-only client of the platform. It is safe for concurrent use.
type Client struct {
	cfg    Config
	http   *http.Client
	budget *rate.Limiter
}

// NewClient returns a client. If transport is nil, the client creates its own.
func NewClient(cfg Config, transport http.RoundTripper) *Client {
	cfg = cfg.withDefaults()
	cfg.BaseURL = strings.TrimRight(cfg.BaseURL, "/")
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxResponseHeaderBytes}
	}
	return &Client{
		cfg:    cfg,
		http:   &http.Client{Transport: transport},
		budget: rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.ReadBurst),
	}
}

// ReadConfig reads all files of the configuration folder at one revision. Files whose
// hash matches one of the cached files are not fetched again.
func (c *Client) ReadConfig(ctx context.Context, cached []config.File) (*Folder, error) {
	first, err := c.fetchListing(ctx, pathList, 0)
	if err != nil {
		return nil, err
	}
	return c.readValues(ctx, first, newFileCache(cached))
}

// WatchConfig waits until the folder's revision differs from after, for at most wait,
// and then reads the folder. It returns nil, nil when the wait ends without a change.
func (c *Client) WatchConfig(ctx context.Context, after uint64, wait time.Duration, cached []config.File) (*Folder, error) {
	first, err := c.fetchListing(ctx, watchPath(pathWatch, after, wait), wait)
	if err != nil || first == nil {
		return nil, err
	}
	return c.readValues(ctx, first, newFileCache(cached))
}

// ReadHosts reads the host list. The returned folder contains one file, HostListFile,
// with the response body unchanged.
func (c *Client) ReadHosts(ctx context.Context) (*Folder, error) {
	return c.fetchHostList(ctx, pathHosts, 0)
}

// WatchHosts waits until the host list's revision differs from after, for at most wait,
// and returns the host list. It returns nil, nil when the wait ends without a change.
func (c *Client) WatchHosts(ctx context.Context, after uint64, wait time.Duration) (*Folder, error) {
	return c.fetchHostList(ctx, watchPath(pathHostsWatch, after, wait), wait)
}

func (c *Client) fetchHostList(ctx context.Context, path string, wait time.Duration) (*Folder, error) {
	a, err := c.get(ctx, path, wait, maxHostListBytes)
	if err != nil || a.unchanged {
		return nil, err
	}
	var head struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(a.body, &head); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "decode host list: %v", err)
	}
	return &Folder{
		Revision: head.Revision,
		Files:    []config.File{{Name: HostListFile, Data: a.body}},
	}, nil
}

func (c *Client) fetchListing(ctx context.Context, path string, wait time.Duration) (*listing, error) {
	a, err := c.get(ctx, path, wait, maxListingBytes)
	if err != nil || a.unchanged {
		return nil, err
	}
	l := &listing{}
	if err := json.Unmarshal(a.body, l); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "decode listing: %v", err)
	}
	l.sort()
	return l, nil
}

// answer is a successful HTTP response: 200, or 304 when unchanged is set.
type answer struct {
	unchanged bool
	body      []byte
	revision  string
}

func (c *Client) get(ctx context.Context, path string, wait time.Duration, maxBytes int64) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout+wait)
	defer cancel()
	if err := c.budget.Wait(ctx); err != nil {
		return answer{}, eris.Wrap(ErrReadBudgetExhausted, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.cfg.BaseURL+path, nil)
	if err != nil {
		return answer{}, eris.Wrap(ErrMalformed, err.Error())
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, eris.Wrap(ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	return readAnswer(response, maxBytes)
}

func readAnswer(response *http.Response, maxBytes int64) (answer, error) {
	switch code := response.StatusCode; {
	case code == http.StatusNotModified:
		return answer{unchanged: true}, nil
	case code == http.StatusTooManyRequests:
		return answer{}, eris.Wrap(ErrRateLimited, response.Status)
	case code == http.StatusNotFound:
		// The file was removed after it was listed and before it was fetched.
		return answer{}, eris.Wrap(ErrMismatch, response.Status)
	case code >= http.StatusInternalServerError:
		return answer{}, eris.Wrap(ErrUnavailable, response.Status)
	case code != http.StatusOK:
		return answer{}, eris.Wrap(ErrMalformed, response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return answer{}, eris.Wrap(ErrUnavailable, err.Error())
	}
	if int64(len(body)) > maxBytes {
		return answer{}, eris.Wrapf(ErrTooLarge, "answer exceeds %d bytes", maxBytes)
	}
	return answer{body: body, revision: response.Header.Get(RevisionHeader)}, nil
}

func watchPath(path string, after uint64, wait time.Duration) string {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", wait.String())
	return path + "?" + query.Encode()
}
