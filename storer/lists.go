package storer

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/heatherhall/heatherhall/planner"
)

const (
	// snapshotName is the object that holds the lists at a recent version.
	snapshotName = "lists/snapshot"
	// SnapshotInterval is the number of versions between two snapshots.
	SnapshotInterval = 50
	// tailPage is how many edits one read returns.
	tailPage = 500
)

// EditsAfter returns the edits after a version, in order. Where more edits follow
// than one page, the newest snapshot comes with them.
func (c *Client) EditsAfter(ctx context.Context, after int64) (*planner.File, []planner.Edit, error) {
	edits, err := c.edits(ctx, after)
	if err != nil || len(edits) < tailPage {
		return nil, edits, err
	}
	snapshot, err := c.snapshot(ctx)
	if err != nil || snapshot.Version <= after {
		return nil, edits, nil //nolint:nilerr // The edits serve without the snapshot.
	}
	edits, err = c.edits(ctx, snapshot.Version)
	return snapshot, edits, err
}

func (c *Client) edits(ctx context.Context, after int64) ([]planner.Edit, error) {
	records, err := c.List(ctx, planner.EditKeyPrefix, planner.EditKey(after), tailPage)
	if err != nil {
		return nil, err
	}
	edits := make([]planner.Edit, 0, len(records))
	for _, record := range records {
		var e planner.Edit
		if err := json.Unmarshal(record.Value, &e); err != nil {
			return nil, &Error{Op: "tail", Kind: KindInvalid, Err: errors.Wrap(err, record.Key)}
		}
		edits = append(edits, e)
	}
	return edits, nil
}

func (c *Client) snapshot(ctx context.Context) (*planner.File, error) {
	data, err := c.Object(ctx, snapshotName)
	if err != nil {
		return nil, err
	}
	var file planner.File
	if err := decode("snapshot", data, &file); err != nil {
		return nil, err
	}
	return &file, nil
}

// Lists returns the lists in force, from the snapshot and the edits after it.
func (c *Client) Lists(ctx context.Context) (planner.Lists, error) {
	lists := planner.Empty()
	snapshot, err := c.snapshot(ctx)
	if err != nil && !Is(err, KindMissing) {
		return lists, err
	}
	if snapshot != nil {
		if lists, err = snapshot.Lists(); err != nil {
			return lists, err
		}
	}
	for {
		edits, err := c.edits(ctx, lists.Version())
		if err != nil || len(edits) == 0 {
			return lists, err
		}
		for _, e := range edits {
			next, err := lists.Apply(e)
			if err != nil {
				next = lists.Skip(e)
			}
			lists = next
		}
	}
}

// Apply puts an edit in force as the version after its base. If another edit
// has taken that version, the error is of KindConflict. An answer that is lost
// is resolved by reading: the row's id tells whose edit it holds.
func (c *Client) Apply(ctx context.Context, lists planner.Lists, e planner.Edit) (planner.Lists, error) {
	next, err := lists.Apply(e)
	if err != nil {
		return lists, err
	}
	record, err := c.Put(ctx, planner.EditKey(next.Version()), 0, e)
	switch {
	case Is(err, KindDown):
		record, err = c.settle(ctx, next.Version(), err)
		if err != nil {
			return lists, err
		}
	case err != nil && !Is(err, KindConflict):
		return lists, err
	}
	var held planner.Edit
	if err := json.Unmarshal(record.Value, &held); err != nil {
		return lists, &Error{Op: "apply", Kind: KindInvalid, Err: err}
	}
	if held.ID != e.ID {
		return lists, &Error{Op: "apply", Kind: KindConflict, Err: errors.Errorf("version %d holds the edit of %s, nothing of yours is in force", next.Version(), held.Author)}
	}
	c.keepSnapshot(ctx, next)
	return next, nil
}

// settle reads the row whose write got no answer.
func (c *Client) settle(ctx context.Context, version int64, cause error) (Record, error) {
	record, err := c.Get(ctx, planner.EditKey(version))
	if Is(err, KindMissing) {
		return record, &Error{Op: "apply", Kind: KindDown, Err: errors.Wrap(cause, "the edit is not in force, apply it again")}
	}
	if err != nil {
		return record, &Error{Op: "apply", Kind: KindDown, Err: errors.Wrap(cause, "the platform does not say whether the edit is in force; `lists show` tells once it answers")}
	}
	return record, nil
}

// keepSnapshot writes a snapshot every so many versions. It only saves reading;
// a failure is made good by the next one.
func (c *Client) keepSnapshot(ctx context.Context, lists planner.Lists) {
	if lists.Version()%SnapshotInterval != 0 {
		return
	}
	if data, err := json.Marshal(lists.File()); err == nil {
		_ = c.PutObject(ctx, snapshotName, data)
	}
}
