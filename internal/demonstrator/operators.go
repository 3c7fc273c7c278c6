package demonstrator

import (
	"context"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// operators change the control state through the operators' API.
type operators struct {
	client *resty.Client
	url    string
}

func newOperators(url, key string) *operators {
	return &operators{
		client: resty.New().SetTimeout(8 * time.Second).SetAuthToken(key),
		url:    url,
	}
}

func (o *operators) close() { o.client.GetClient().CloseIdleConnections() }

// object is what operators need of a zone or key before they change it.
type object struct {
	Name     string `json:"name"`
	ID       string `json:"id"`
	Team     string `json:"team"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}

// change is the body of a change.
type change struct {
	OperationID string `json:"operation-id"`
	Revision    uint64 `json:"revision"`
}

// accepted is the answer to a change.
type accepted struct {
	InForceAt time.Time `json:"in-force-at"`
}

func (o *operators) get(ctx context.Context, path string, into any) error {
	response, err := o.client.R().SetContext(ctx).SetResult(into).Get(o.url + path)
	if err != nil {
		return errors.Wrapf(err, "demonstrator: GET %s", path)
	}
	if response.IsError() {
		return errors.Errorf("demonstrator: GET %s: %s: %s", path, response.Status(), response.String())
	}
	return nil
}

func (o *operators) post(ctx context.Context, path string, revision uint64) (time.Time, error) {
	var answer accepted
	response, err := o.client.R().SetContext(ctx).SetResult(&answer).SetBody(change{
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

// setZone takes a data centre "out" or back "in" and returns when that is in force.
func (o *operators) setZone(ctx context.Context, name, state string) (time.Time, error) {
	var list struct {
		Zones []object `json:"zones"`
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

// withdrawKey withdraws a key and returns when that is in force.
func (o *operators) withdrawKey(ctx context.Context, id string) (time.Time, error) {
	var list struct {
		Keys []object `json:"keys"`
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
