-- The placement lease where workers check no tokens (gateway): only time keeps the orders of two
-- holders apart, and the order of a former holder must be at least a lease old before its successor's.
--
-- Abstraction. Time is counted in ticks, alike on all machines (a steady clock's drift is within the
-- slack, which is left out). One machine holds the lease at the start; the other one watches the row
-- and takes it over once. A write's commit falls anywhere between its sending and its answer, or the
-- answer never comes; an order arrives at any time up to TRANSIT ticks after its sending. A frozen or
-- cut machine is one that takes no step.
--
-- Bounds. 2 machines, HORIZON ticks, 5 versions, one write and one order in flight.
--
-- Actions: SendWrite, CommitWrite, WriteAnswered, SendOrder, TakeOrder, ReadLease, TakeOver, Tick.
--
-- Properties: OrdersAreALeaseApart.

const
  LEASE: 3;
  VERSIONS: 5;
  -- How long a holder orders after the last confirmed write was sent.
  LIMIT: 2;
  TRANSIT: 1;
  HORIZON: 10;

  -- Each flag, when false, gives a variant that the checker must refute.
  HOLDER_STOPS: true;             -- a holder without confirmation stops ordering after LIMIT
  LIMIT_FROM_SENDING: true;       -- the limit counts from the write's sending, not from its answer
  ORDER_EXPIRES: true;            -- an order that was not delivered within TRANSIT never arrives
  WAIT_COVERS_LAST_ORDER: true;   -- a takeover waits LIMIT + TRANSIT + LEASE, not LEASE alone
  COMPARE_VERSION: true;          -- a takeover's write is done only if the row is the one that was watched

type
  tick: 0..HORIZON;
  version: 0..VERSIONS;

var
  now: tick;
  row: version;
  -- The holder.
  writing: boolean;
  committed: boolean;
  sent_at: tick;
  confirmed_at: tick;
  order_flight: boolean;
  order_sent_at: tick;
  -- The watcher.
  watching: boolean;
  seen: version;
  seen_since: tick;
  taken: boolean;
  -- The workers.
  ordered: boolean;
  last_order: tick;
  too_close: boolean;

function Wait(): 0..HORIZON;
begin
  if WAIT_COVERS_LAST_ORDER then
    return LIMIT + TRANSIT + LEASE;
  end;
  return LEASE;
end;

startstate
begin
  now := 0;
  row := 1;
  writing := false;
  committed := false;
  sent_at := 0;
  confirmed_at := 0;
  order_flight := false;
  order_sent_at := 0;
  watching := false;
  seen := 0;
  seen_since := 0;
  taken := false;
  ordered := false;
  last_order := 0;
  too_close := false;
end;

rule "Tick"
  now < HORIZON
==>
begin
  now := now + 1;
end;

-- A renewal of the holder.
rule "SendWrite"
  !writing & !taken
==>
begin
  writing := true;
  committed := false;
  sent_at := now;
end;

rule "CommitWrite"
  writing & !committed & !taken & row < VERSIONS
==>
begin
  committed := true;
  row := row + 1;
end;

rule "WriteAnswered"
  writing & committed
==>
begin
  writing := false;
  confirmed_at := LIMIT_FROM_SENDING ? sent_at : now;
  sent_at := 0;
end;

rule "WriteAnswered given up"
  writing
==>
begin
  writing := false;
  sent_at := 0;
end;

rule "SendOrder"
  !order_flight & (now < confirmed_at + LIMIT | !HOLDER_STOPS)
==>
begin
  order_flight := true;
  order_sent_at := now;
end;

rule "TakeOrder"
  order_flight & (now <= order_sent_at + TRANSIT | !ORDER_EXPIRES)
==>
begin
  order_flight := false;
  order_sent_at := 0;
  if taken then
    too_close := true;
  end;
  ordered := true;
  last_order := now;
end;

rule "TakeOrder never"
  order_flight
==>
begin
  order_flight := false;
  order_sent_at := 0;
end;

rule "ReadLease"
  !taken & (!watching | seen != row)
==>
begin
  watching := true;
  seen := row;
  seen_since := now;
end;

-- The successor's write, and at once its first order.
rule "TakeOver"
  watching & !taken & now >= seen_since + Wait() & (seen = row | !COMPARE_VERSION)
==>
begin
  taken := true;
  if ordered & now < last_order + LEASE then
    too_close := true;
  end;
end;

invariant "OrdersAreALeaseApart"
  !too_close;
