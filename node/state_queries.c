#include <talloc.h>

#include "node/node_priv.h"

/* Queries of a job's state that wait until the newest records are read.

   Load pattern: in a peak hundreds of jobs end each second, and their clients
   ask soon after.  Records are read in batches some 100 ms apart, as each read
   is a call to the store, and short jobs have no more slack than that.  So the
   query of a job that may have ended meanwhile brings the next read forward
   and is answered after it.  */

/* Longest time for which a query waits.  The store answers a read within some
   milliseconds if there are new records, and holds it open otherwise.  */
#define QUERY_WAIT_MS 40

struct state_query
{
  struct state_query *next, *prev; /* all of the process */
  struct node *nod;
  struct front_request *req;
  struct timer *timer;
  const struct follower *fol; /* whose next records may tell of the job */
  uint64_t id;
};

static int
unlink_query (struct state_query *qry)
{
  if (qry->prev)
    qry->prev->next = qry->next;
  else
    qry->nod->state_queries = qry->next;
  if (qry->next)
    qry->next->prev = qry->prev;
  return 0;
}

static void
answer_query (struct state_query *qry)
{
  node_reply_known_state (qry->nod, qry->req, qry->id);
  talloc_free (qry);
}

static void
on_query_timer (void *arg)
{
  struct state_query *qry = arg;
  qry->timer = NULL;
  answer_query (qry);
}

bool
node_query_state (struct node *nod, struct front_request *req,
                  struct follower *fol, uint64_t id)
{
  if (!follower_read_now (fol, QUERY_WAIT_MS))
    return false;
  struct state_query *qry = talloc_zero (nod, struct state_query);
  if (!qry)
    return false;
  qry->nod = nod;
  qry->req = req;
  qry->fol = fol;
  qry->id = id;
  qry->next = nod->state_queries;
  if (qry->next)
    qry->next->prev = qry;
  nod->state_queries = qry;
  talloc_set_destructor (qry, unlink_query);
  qry->timer
      = timer_add (nod->ev, qry, QUERY_WAIT_MS * 1000, on_query_timer, qry);
  return true;
}

void
node_answer_queries (struct node *nod, const struct follower *fol)
{
  struct state_query *next;
  for (struct state_query *qry = nod->state_queries; qry; qry = next)
    {
      next = qry->next;
      if (qry->fol == fol)
        answer_query (qry);
    }
}
