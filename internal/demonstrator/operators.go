package demonstrator

import (
	"context"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// operatorClient changes the control state through the operators' API.
type operatorClient struct {
	client *resty.Client
	url    string
}

func newOperatorClient(url, key string) *operatorClient {
	return &operatorClient{
		client: resty.New().SetTimeout(8 * time.Second).SetAuthToken(key),
		url:    url,
	}
}

func (o *operatorClient) close() { o.client.GetClient().CloseIdleConnections() }

// resource has the members of a listed zone or key. A change has to name the
// current revision.
type resource struct {
	Name     string `json:"name"`
	ID       string `json:"id"`
	Team     string `json:"team"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}

// changeRequest is the body of a request that changes a zone or key.
type changeRequest struct {
	OperationID string `json:"operation-id"`
	Revision    uint64 `json:"revision"`
}

// changeResponse is the response to an accepted change.
type changeResponse struct {
	InForceAt time.Time `json:"in-force-at"`
}

func (o *operatorClient) get(ctx context.Context, path string, result any) error {
	response, err := o.client.R().SetContext(ctx).SetResult(result).Get(o.url + path)
	if err != nil {
		return errors.Wrapf(err, "demonstrator: GET %s", path)
	}
	if response.IsError() {
		return errors.Errorf("demonstrator: GET %s: %s: %s", path, response.Status(), response.String())
	}
	return nil
}

// post requests a change and returns when it is in force on all entry hosts.
func (o *operatorClient) post(ctx context.Context, path string, revision uint64) (time.Time, error) {
	var answer changeResponse
	response, err := o.client.R().SetContext(ctx).SetResult(&answer).SetBody(changeRequest{
		OperationID: uuid.NewString(),
		Revision:    revision,
	}).Post(o.url + path)
	if err != nil {
		return time.Time{}, errors.Wrapf(err, "demonstrator: POST %s", path)
	}
	if response.IsError() {
		return time.Time{}, errors.Errorf("demonstrator: POST %s: %s: %s", path, response.Status(), response.String())
	}
	return answer.InForceAt, nil
}

// setZone takes a data centre "out" of service or back "in", and returns when the
// change is in force.
func (o *operatorClient) setZone(ctx context.Context, name, state string) (time.Time, error) {
	var list struct {
		Zones []resource `json:"zones"`
	}
	if err := o.get(ctx, "/v1/zones", &list); err != nil {
		return time.Time{}, err
	}
	for _, z := range list.Zones {
		if z.Name == name {
			return o.post(ctx, "/v1/zones/"+name+"/"+state, z.Revision)
		}
	}
	return time.Time{}, errors.Errorf("demonstrator: zone %q is not listed", name)
}

// withdrawKey withdraws a key and returns when the withdrawal is in force.
func (o *operatorClient) withdrawKey(ctx context.Context, id string) (time.Time, error) {
	var list struct {
		Keys []resource `json:"keys"`
	}
	if err := o.get(ctx, "/v1/keys", &list); err != nil {
		return time.Time{}, err
	}
	for _, k := range list.Keys {
		if k.ID == id {
			return o.post(ctx, "/v1/keys/"+id+"/withdraw", k.Revision)
		}
	}
	return time.Time{}, errors.Errorf("demonstrator: key %q is not listed", id)
}
