package httpplatform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/windscale/windscale/internal/platform"
	"github.com/windscale/windscale/internal/platform/httpplatform/wire"
)

const (
	headerMatch     = "If-Match"
	headerNoneMatch = "If-None-Match"
	headerETag      = "Etag"
	headerType      = "Content-Type"
	anyTag          = "*"
	typeJSON        = "application/json"
	typeBytes       = "application/octet-stream"
)

// Read implements [platform.Table].
func (c *Client) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	switch len(keys) {
	case 0:
		return nil, nil
	case 1:
		row, err := c.readOne(ctx, keys[0])
		if err != nil {
			return nil, err
		}
		return []platform.Row{row}, nil
	}
	return c.readMany(ctx, keys)
}

// readOne reads one row by GET; a row that is not there has version 0.
func (c *Client) readOne(ctx context.Context, key string) (platform.Row, error) {
	k := call{op: "table.read", method: http.MethodGet, path: wire.Path(wire.Rows, key)}
	ans, err := c.do(ctx, k)
	if err != nil {
		return platform.Row{}, err
	}
	switch ans.status {
	case http.StatusOK:
	case http.StatusNotFound:
		return platform.Row{Key: key}, nil
	default:
		return platform.Row{}, k.status(ans)
	}
	version, ok := wire.ParseETag(ans.header.Get(headerETag))
	if !ok || version == 0 {
		return platform.Row{}, k.malformed(ans, "entity tag")
	}
	return platform.Row{Key: key, Value: ans.body, Version: version}, nil
}

// readMany reads several rows as of one moment.
func (c *Client) readMany(ctx context.Context, keys []string) ([]platform.Row, error) {
	k := call{op: "table.read", method: http.MethodPost, path: wire.Read, header: contentType(typeJSON)}
	var err error
	k.body, err = json.Marshal(wire.ReadRequest{Keys: keys})
	if err != nil {
		return nil, &platform.Error{Kind: platform.KindMalformed, Op: k.op, Err: err}
	}
	ans, err := c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	if ans.status != http.StatusOK {
		return nil, k.status(ans)
	}
	var resp wire.ReadResponse
	if json.Unmarshal(ans.body, &resp) != nil || len(resp.Rows) != len(keys) {
		return nil, k.malformed(ans, "rows")
	}
	rows := make([]platform.Row, len(keys))
	for i, r := range resp.Rows {
		if r.Key != keys[i] {
			return nil, k.malformed(ans, "row order")
		}
		rows[i] = platform.Row(r)
	}
	return rows, nil
}

// Commit implements [platform.Table]. A single write goes as a conditional PUT
// or DELETE, several as one transaction.
func (c *Client) Commit(ctx context.Context, writes ...platform.Write) error {
	if len(writes) == 0 {
		return nil
	}
	k, err := commitCall(writes)
	if err != nil {
		return err
	}
	return c.write(ctx, k)
}

// commitCall returns the call that commits the writes.
func commitCall(writes []platform.Write) (call, error) {
	k := call{op: "table.commit", write: true}
	first := writes[0]
	switch {
	case len(writes) > 1, first.Delete && first.IfVersion == 0:
		return transactionCall(k, writes)
	case first.Delete:
		k.method = http.MethodDelete
		k.header = http.Header{}
	default:
		k.method = http.MethodPut
		k.header = contentType(typeBytes)
		k.body = first.Value
	}
	k.path = wire.Path(wire.Rows, first.Key)
	if first.IfVersion == 0 {
		k.header.Set(headerNoneMatch, anyTag)
		return k, nil
	}
	k.header.Set(headerMatch, wire.ETag(first.IfVersion))
	return k, nil
}

// transactionCall makes k the call of one transaction.
func transactionCall(k call, writes []platform.Write) (call, error) {
	k.method = http.MethodPost
	k.path = wire.Transactions
	k.header = contentType(typeJSON)
	var tx wire.Transaction
	for _, w := range writes {
		tx.Writes = append(tx.Writes, wire.Write(w))
	}
	var err error
	k.body, err = json.Marshal(tx)
	if err != nil {
		return k, &platform.Error{Kind: platform.KindUnavailable, Op: k.op, Err: err}
	}
	return k, nil
}

// write makes a call whose answer is its status alone.
func (c *Client) write(ctx context.Context, k call) error {
	ans, err := c.do(ctx, k)
	if err != nil {
		return err
	}
	if ans.status == http.StatusNoContent || ans.status == http.StatusCreated {
		return nil
	}
	return k.status(ans)
}

// PutIfAbsent implements [platform.Objects].
func (c *Client) PutIfAbsent(ctx context.Context, key string, body []byte) error {
	k := call{op: "objects.put", method: http.MethodPut, path: wire.Path(wire.Objects, key), body: body, write: true}
	k.header = contentType(typeBytes)
	k.header.Set(headerNoneMatch, anyTag)
	return c.write(ctx, k)
}

// Get implements [platform.Objects].
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	k := call{op: "objects.get", method: http.MethodGet, path: wire.Path(wire.Objects, key)}
	ans, err := c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	switch ans.status {
	case http.StatusOK:
		return ans.body, nil
	case http.StatusNotFound:
		return nil, &platform.Error{Kind: platform.KindAbsent, Op: k.op}
	}
	return nil, k.status(ans)
}

// Hosts implements [platform.HostList]. A list that has not changed since the
// last call is not sent again.
func (c *Client) Hosts(ctx context.Context) ([]platform.Host, error) {
	k := call{op: "hosts.list", method: http.MethodGet, path: wire.Hosts, header: http.Header{}}
	tag, known := c.knownHosts()
	if tag != "" {
		k.header.Set(headerNoneMatch, tag)
	}
	ans, err := c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	switch {
	case ans.status == http.StatusOK:
	case ans.status == http.StatusNotModified && tag != "":
		return known, nil
	default:
		return nil, k.status(ans)
	}
	var hosts []platform.Host
	if json.Unmarshal(ans.body, &hosts) != nil {
		return nil, k.malformed(ans, "host list")
	}
	for _, h := range hosts {
		if !wellFormed(h) {
			return nil, k.malformed(ans, "host "+h.ID)
		}
	}
	c.keepHosts(ans.header.Get(headerETag), hosts)
	return hosts, nil
}

func (c *Client) knownHosts() (tag string, hosts []platform.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hostsTag, append([]platform.Host(nil), c.hosts...)
}

func (c *Client) keepHosts(tag string, hosts []platform.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostsTag = tag
	c.hosts = append([]platform.Host(nil), hosts...)
}

func wellFormed(h platform.Host) bool {
	role := h.Role == platform.RoleRouter || h.Role == platform.RoleServer
	state := h.State == platform.HostLive || h.State == platform.HostLeaving
	return role && state && h.ID != "" && h.Addr != ""
}

func contentType(t string) http.Header {
	return http.Header{headerType: {t}}
}
