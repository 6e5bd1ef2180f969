package storer

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/heatherhall/heatherhall/planner"
)

const (
	// snapshotName is the name of the object that holds the lists at a recent
	// version.
	snapshotName = "lists/snapshot"
	// SnapshotInterval is the number of versions between two snapshots.
	SnapshotInterval = 50
	// editsPageSize is the maximum number of edits that one read returns.
	editsPageSize = 500
)

// EditsAfter returns up to one page of the edits after a version, in order. If
// the page is full and there is a newer snapshot, it returns the snapshot and the
// edits after the snapshot instead. Otherwise the returned snapshot is nil.
func (c *Client) EditsAfter(ctx context.Context, after int64) (*planner.File, []planner.Edit, error) {
	edits, err := c.edits(ctx, after)
	if err != nil || len(edits) < editsPageSize {
		return nil, edits, err
	}
	snapshot, err := c.snapshot(ctx)
	if err != nil || snapshot.Version <= after {
		return nil, edits, nil //nolint:nilerr // The edits can be used without the snapshot.
	}
	edits, err = c.edits(ctx, snapshot.Version)
	return snapshot, edits, err
}

// edits returns up to one page of the edits after a version, in order.
func (c *Client) edits(ctx context.Context, after int64) ([]planner.Edit, error) {
	records, err := c.List(ctx, planner.EditKeyPrefix, planner.EditKey(after), editsPageSize)
	if err != nil {
		return nil, err
	}
	edits := make([]planner.Edit, 0, len(records))
	for _, record := range records {
		var e planner.Edit
		if err := json.Unmarshal(record.Value, &e); err != nil {
			return nil, &Error{Op: "edits", Kind: KindInvalid, Err: errors.Wrap(err, record.Key)}
		}
		edits = append(edits, e)
	}
	return edits, nil
}

// snapshot returns the last snapshot. If there is none, the error is of
// KindMissing.
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

// Lists returns the current lists, built from the snapshot and the edits after
// it. Edits that can't be applied are skipped.
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

// Apply stores an edit as the version after that of the given lists and returns
// the resulting lists. If another edit has that version, the error is of
// KindConflict. If the write gets no answer, Apply reads the row: the ID of the
// edit in the row shows whether the write took effect. If there is no row or it
// can't be read, the error is of KindDown.
func (c *Client) Apply(ctx context.Context, lists planner.Lists, e planner.Edit) (planner.Lists, error) {
	next, err := lists.Apply(e)
	if err != nil {
		return lists, err
	}
	record, err := c.Put(ctx, planner.EditKey(next.Version()), 0, e)
	switch {
	case Is(err, KindDown):
		record, err = c.resolveWrite(ctx, next.Version(), err)
		if err != nil {
			return lists, err
		}
	case err != nil && !Is(err, KindConflict):
		return lists, err
	}
	var storedEdit planner.Edit
	if err := json.Unmarshal(record.Value, &storedEdit); err != nil {
		return lists, &Error{Op: "apply", Kind: KindInvalid, Err: err}
	}
	if storedEdit.ID != e.ID {
		return lists, &Error{Op: "apply", Kind: KindConflict, Err: errors.Errorf("version %d holds the edit of %s, nothing of yours is in force", next.Version(), storedEdit.Author)}
	}
	c.writeSnapshot(ctx, next)
	return next, nil
}

// resolveWrite reads the row of an edit whose write got no answer. It returns an
// error of KindDown, which wraps the cause, if there is no row or it can't be
// read.
func (c *Client) resolveWrite(ctx context.Context, version int64, cause error) (Record, error) {
	record, err := c.Get(ctx, planner.EditKey(version))
	if Is(err, KindMissing) {
		return record, &Error{Op: "apply", Kind: KindDown, Err: errors.Wrap(cause, "the edit was not applied, apply it again")}
	}
	if err != nil {
		return record, &Error{Op: "apply", Kind: KindDown, Err: errors.Wrap(cause, "it is not known whether the edit was applied; run `lists show` once the platform answers")}
	}
	return record, nil
}

// writeSnapshot writes a snapshot of the lists at every multiple of
// SnapshotInterval. A failure is ignored: a snapshot only reduces the number of
// edits to read, and the next snapshot replaces a missing one.
func (c *Client) writeSnapshot(ctx context.Context, lists planner.Lists) {
	if lists.Version()%SnapshotInterval != 0 {
		return
	}
	if data, err := json.Marshal(lists.File()); err == nil {
		_ = c.PutObject(ctx, snapshotName, data)
	}
}
