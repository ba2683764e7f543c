package io.balsamlane.router.records;

import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;
import io.vertx.core.Future;

/**
 * Records which process may dispatch a non-repeatable call, and the outcome of the call.
 * The returned futures never fail.
 */
public interface IntentService {

	/**
	 * Create the intent of a call unless a record of the call exists.
	 * @param intent the record to create, with this process as dispatcher
	 * @return a reply with result CREATED and the stored record if this process may
	 * dispatch the call, once; EXISTS with the record of another copy of the call;
	 * otherwise REFUSED, and this process never dispatches the call
	 */
	Future<IntentReply> create(CallRecord intent);

	/**
	 * Record the outcome of a call that this process was allowed to dispatch.
	 * @param outcome the record of the CREATED reply, in its new state
	 * @return true once the outcome is stored, false if reporting was abandoned
	 */
	Future<Boolean> report(CallRecord outcome);

}
