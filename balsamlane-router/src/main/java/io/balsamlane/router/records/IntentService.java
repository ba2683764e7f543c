package io.balsamlane.router.records;

import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;
import io.vertx.core.Future;

/**
 * Records which process may dispatch a non-repeatable call, and what came of it. Futures
 * never fail.
 */
public interface IntentService {

	/**
	 * Creates the intent of a call unless a record exists.
	 * @param intent the record to create, with this process as dispatcher
	 * @return result CREATED with the stored record if this process may dispatch the
	 * call, once; EXISTS with the record of another copy; otherwise REFUSED, and this
	 * process never dispatches the call
	 */
	Future<IntentReply> create(CallRecord intent);

	/**
	 * Records the outcome of a call that this process was allowed to dispatch.
	 * @param outcome the record of the answer CREATED in its new state
	 * @return true once it is stored
	 */
	Future<Boolean> report(CallRecord outcome);

}
